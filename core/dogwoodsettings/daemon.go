package dogwoodsettings

import (
	"net/netip"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Daemon holds the settings file of a dogwoodmuxd process.
type Daemon struct {
	VM         dogwoodfleet.VM
	Region     dogwoodfleet.Region
	DataCentre dogwoodfleet.DataCentre
	// Serve, Peer and Admin are the addresses that the daemon listens on and publishes.
	Serve netip.AddrPort
	Peer  netip.AddrPort
	Admin netip.AddrPort
	// Platform holds the addresses of the table service, object store, VM list and weight store.
	Platform Platform
	// AdminKey and PeerKey guard the administration API and the connections between daemons.
	AdminKey Secret
	PeerKey  Secret
	LogLevel string `json:",omitempty"`
	// Policy is "" for the product's policy, or "Baseline" for the reference in measurements:
	// first come, first served, at a randomly chosen endpoint.
	Policy string `json:",omitempty"`
	// MemoryMB is the memory that the process may use, in MB of 1,000,000 bytes, and FileDescriptors the number of descriptors. They bound
	// what the clients of its listeners may take; 0 means that they are not known.
	MemoryMB        int `json:",omitempty"`
	FileDescriptors int `json:",omitempty"`
}

// Platform holds the addresses of the platform's services and the key for them.
type Platform struct {
	Tables  netip.AddrPort
	Objects netip.AddrPort
	VMs     netip.AddrPort
	Weights netip.AddrPort
	Key     Secret `json:",omitzero"`
}

// Secret is a key, given in the settings file (Value), in another file (File) or in an
// environment variable (Environment). Exactly one of them must be set.
type Secret struct {
	Value       string `json:",omitempty"`
	File        string `json:",omitempty"`
	Environment string `json:",omitempty"`
}

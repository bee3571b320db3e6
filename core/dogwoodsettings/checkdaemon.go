package dogwoodsettings

import (
	"fmt"
	"net/netip"
	"slices"
)

// PolicyBaseline is the Daemon.Policy that serves as the reference in measurements.
const PolicyBaseline = "Baseline"

const (
	// minMemoryMB is the least memory in which a daemon runs, and minDescriptors the least number of descriptors. The largest values are far
	// above those of any VM.
	minMemoryMB, maxMemoryMB       = 32, 1_000_000
	minDescriptors, maxDescriptors = 300, 100_000_000
)

var logLevels = []string{"", "trace", "debug", "info", "warn", "error"}

func checkDaemon(daemon *Daemon, report *report) {
	checkName(report, "VM", string(daemon.VM))
	checkName(report, "Region", string(daemon.Region))
	checkName(report, "DataCentre", string(daemon.DataCentre))
	checkOwnAddresses(daemon, report)
	checkPlatform(&daemon.Platform, report)
	checkSecret(report, "AdminKey", daemon.AdminKey)
	checkSecret(report, "PeerKey", daemon.PeerKey)
	if !slices.Contains(logLevels, daemon.LogLevel) {
		report.add("LogLevel", "is %q, where one of trace, debug, info, warn, error belongs", daemon.LogLevel)
	}
	if daemon.Policy != "" && daemon.Policy != PolicyBaseline {
		report.add("Policy", "is %q, where %q belongs, or nothing", daemon.Policy, PolicyBaseline)
	}
	if daemon.MemoryMB != 0 && (daemon.MemoryMB < minMemoryMB || daemon.MemoryMB > maxMemoryMB) {
		report.add("MemoryMB", "is %d, where %d to %d belong, or nothing", daemon.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if daemon.FileDescriptors != 0 && (daemon.FileDescriptors < minDescriptors || daemon.FileDescriptors > maxDescriptors) {
		report.add("FileDescriptors", "is %d, where %d to %d belong, or nothing", daemon.FileDescriptors, minDescriptors, maxDescriptors)
	}
}

// checkOwnAddresses reports addresses that are missing, used twice or not dialable by
// other hosts. The daemon publishes them to callers and peers, which would connect to
// themselves if one were unspecified.
func checkOwnAddresses(daemon *Daemon, report *report) {
	seen := map[netip.AddrPort]string{}
	fields := []struct {
		name    string
		address netip.AddrPort
	}{{"Serve", daemon.Serve}, {"Peer", daemon.Peer}, {"Admin", daemon.Admin}}
	for _, field := range fields {
		if !field.address.IsValid() {
			report.add(field.name, "is missing; it is an address such as \"10.0.0.1:8080\"")
			continue
		}
		if field.address.Addr().IsUnspecified() {
			report.add(field.name, "%s can't be dialled by others; give the VM's own address", field.address)
		}
		if field.address.Port() == 0 {
			report.add(field.name, "%s has no port", field.address)
		}
		if first, used := seen[field.address]; used {
			report.add(field.name, "%s is the address of %s too", field.address, first)
		}
		seen[field.address] = field.name
	}
}

func checkPlatform(platform *Platform, report *report) {
	services := []struct {
		name    string
		address netip.AddrPort
	}{
		{"Tables", platform.Tables},
		{"Objects", platform.Objects},
		{"VMs", platform.VMs},
		{"Weights", platform.Weights},
	}
	for _, service := range services {
		if !service.address.IsValid() || service.address.Port() == 0 {
			report.add("Platform."+service.name, "is missing; it is an address such as \"10.0.0.1:8080\"")
		}
	}
}

func checkSecret(report *report, path string, secret Secret) {
	given := 0
	for _, source := range []string{secret.Value, secret.File, secret.Environment} {
		if source != "" {
			given++
		}
	}
	if given != 1 {
		report.add(path, "needs exactly one of Value, File, Environment; %s given", countWord(given))
	}
}

func countWord(count int) string {
	if count == 0 {
		return "none is"
	}
	return fmt.Sprintf("%d are", count)
}

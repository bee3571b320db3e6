// Package dogwoodfactory provides the dependencies of dogwoodctl's subcommands: the streams,
// the client and the environment. Tests use buffers and a fake server instead.
package dogwoodfactory

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"github.com/google/uuid"
	"golang.org/x/term"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodtransport"
)

// The environment variables that are used if the corresponding flag is not set.
const (
	EnvironmentAddresses = "DOGWOOD_ADMIN_ADDRESSES"
	EnvironmentKey       = "DOGWOOD_ADMIN_KEY"
)

// Streams are the input and output of a subcommand.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal reports whether Out is a terminal. Tables then have headings and aligned columns.
	Terminal bool
}

// Factory holds the dependencies of the subcommands.
type Factory struct {
	Streams Streams
	// Addresses are the administration addresses of some daemons, separated by commas.
	Addresses string
	// Key is the administration key. If KeyFile is set, the key is read from that file instead.
	Key     string
	KeyFile string
	// Author is recorded with each change.
	Author    string
	Transport http.RoundTripper
	// NewID generates the ID of a change. The change log stores a change with a given ID only
	// once, which makes the request idempotent.
	NewID func() string
}

// New returns the factory of a real process.
func New() *Factory {
	return &Factory{
		Streams: Streams{
			In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
			Terminal: term.IsTerminal(int(os.Stdout.Fd())),
		},
		Addresses: os.Getenv(EnvironmentAddresses),
		Key:       os.Getenv(EnvironmentKey),
		Author:    os.Getenv("USER"),
		Transport: dogwoodtransport.New(&http.Transport{}),
		NewID:     uuid.NewString,
	}
}

// Client returns a client of the administration API.
func (factory *Factory) Client() (*dogwoodadminapi.Client, error) {
	addresses, err := factory.addresses()
	if err != nil {
		return nil, err
	}
	key, err := factory.key()
	if err != nil {
		return nil, err
	}
	return dogwoodadminapi.NewClient(factory.Transport, addresses, key), nil
}

func (factory *Factory) addresses() ([]netip.AddrPort, error) {
	if factory.Addresses == "" {
		return nil, dogwoodsubcommand.NewUsageError("give -addresses or set %s to the administration addresses of some daemons", EnvironmentAddresses)
	}
	var addresses []netip.AddrPort
	for each := range strings.SplitSeq(factory.Addresses, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(each))
		if err != nil {
			return nil, dogwoodsubcommand.NewUsageError("%q is no address such as 10.0.0.1:8082", each)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func (factory *Factory) key() (string, error) {
	if factory.KeyFile == "" {
		if factory.Key == "" {
			return "", dogwoodsubcommand.NewUsageError("give -key-file or set %s", EnvironmentKey)
		}
		return factory.Key, nil
	}
	content, err := os.ReadFile(factory.KeyFile)
	if err != nil {
		return "", dogwoodsubcommand.NewUsageError("the key file can't be read: %v", err)
	}
	return strings.TrimSpace(string(content)), nil
}

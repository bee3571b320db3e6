package dogwoodcrowd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

const (
	adminKey = "admin-key"
	// muxdText is an operators' text with one customer.
	muxdText = `{"Services": [{"Name": "desk", "Kind": "PlainService", "Deadline": "5s", "MaxDeadline": "1m", "ColdLimit": 2, "WarmLimit": 32,
"Calls": [{"Method": "GET", "Path": "/stock/{ID}", "Repeatable": true}], "Objectives": {"InTime": 0.999}}],
"Customers": [{"Name": "c", "KeySHA256": [%q], "Weight": 1}]}`
)

// muxdSite is a dogwoodmuxd in a process of its own, with the platform's services in the test's process.
type muxdSite struct {
	process
	settings dogwoodsettings.Daemon
}

// newMuxdSite returns a site whose daemon serves.
func newMuxdSite(t *testing.T) *muxdSite {
	t.Helper()
	platform, err := dogwoodplatformstandin.Start(t.Context(), dogwoodplatformstandin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	address := newAddress()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	site := &muxdSite{settings: dogwoodsettings.Daemon{
		VM: "entry-1", Region: "r", DataCentre: "a", Serve: at(8001), Peer: at(8002), Admin: at(8003),
		Platform: dogwoodsettings.Platform{Tables: platform.Tables, Objects: platform.Objects, VMs: platform.VMs, Weights: platform.Weights},
		AdminKey: dogwoodsettings.Secret{Value: adminKey}, PeerKey: dogwoodsettings.Secret{Value: "peer-key"},
		MemoryMB: memoryMB, FileDescriptors: descriptors,
	}}
	platform.SetVMs([]dogwoodfleet.ListedVM{{
		Name: site.settings.VM, Place: dogwoodfleet.Place{Region: "r", DataCentre: "a"}, State: dogwoodfleet.Live, Serve: at(8001), Peer: at(8002), Admin: at(8003),
	}})
	encoded, err := json.Marshal(site.settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "daemon.json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	site.start(t, dogwoodsoakprocess.Spec{Path: muxdProgram, Arguments: []string{"serve", "-settings", file}})
	site.applyText(t)
	if status := site.ask(t); status != http.StatusOK {
		t.Fatalf("got status %d of a new daemon, want 200: %s", status, site.logEnd())
	}
	return site
}

// applyText puts the operators' text in force, as operators do.
func (site *muxdSite) applyText(t *testing.T) {
	t.Helper()
	digest := sha256.Sum256([]byte(key))
	text := fmt.Sprintf(muxdText, hex.EncodeToString(digest[:]))
	client := dogwoodadminapi.NewClient(&http.Transport{DisableKeepAlives: true}, []netip.AddrPort{site.settings.Admin}, adminKey)
	var err error
	for deadline := time.Now().Add(answerWithin); time.Now().Before(deadline); dogwoodkernel.Sleep(t.Context(), 100*time.Millisecond) {
		if _, err = client.Apply(t.Context(), dogwoodadminapi.Apply{ID: "text", Author: "test", Source: text}); err == nil {
			return
		}
	}
	t.Fatalf("got %v for the operators' text: %s", err, site.logEnd())
}

func (site *muxdSite) ask(t *testing.T) int {
	t.Helper()
	return ask(t, site.settings.Serve, "GET /v1/entry HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+key+"\r\n")
}

// Guards against clients that end a daemon of the project's own platform with heads of short lines or with connections, on any of its
// listeners.
func TestMuxdWithstandsCrowdOnEachListener(t *testing.T) {
	tests := []struct {
		name, start string
		address     func(settings *dogwoodsettings.Daemon) netip.AddrPort
	}{
		{"callers", "GET /v1/entry HTTP/1.1\r\nHost: a\r\n", func(settings *dogwoodsettings.Daemon) netip.AddrPort { return settings.Serve }},
		{"operators", "GET /healthz HTTP/1.1\r\nHost: a\r\n", func(settings *dogwoodsettings.Daemon) netip.AddrPort { return settings.Admin }},
		{"peers", "GET / HTTP/1.1\r\nHost: a\r\n", func(settings *dogwoodsettings.Daemon) netip.AddrPort { return settings.Peer }},
	}
	for _, test := range tests {
		for _, kind := range []string{"short lines", "short lines on kept connections", "more short lines than allowed that stop", "short lines without end", "nothing"} {
			t.Run(test.name+"/"+kind, func(t *testing.T) {
				site := newMuxdSite(t)
				site.withstand(t, site.ask, crowd(test.address(&site.settings), named(t, test.start, kind)))
			})
		}
	}
}

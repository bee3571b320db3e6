package dogwoodtopology

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Beat has the size of the daemons' heartbeat: the sender, its instance and its log position.
type Beat struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Number   uint64
	Version  uint64
	Leaving  bool
}

// Heart is an RPC server that echoes heartbeats.
type Heart struct{}

// Beat answers a heartbeat with a copy of it, as a method of net/rpc.
func (heart *Heart) Beat(request Beat, answer *Beat) error {
	*answer = request
	return nil
}

type connection struct {
	net.Conn
	written *atomic.Int64
}

// Write writes bytes to the connection and counts them.
func (connection connection) Write(bytes []byte) (int, error) {
	connection.written.Add(int64(len(bytes)))
	return connection.Conn.Write(bytes)
}

// BenchmarkHeartbeat reports the bytes of one heartbeat and its answer on a persistent net/rpc
// connection, excluding TCP and IP headers.
func BenchmarkHeartbeat(b *testing.B) {
	var sent atomic.Int64
	clientConn, serverConn := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Member", &Heart{}); err != nil {
		b.Fatal(err)
	}
	var serving sync.WaitGroup
	defer serving.Wait()
	serving.Go(func() { server.ServeConn(connection{serverConn, &sent}) })
	client := rpc.NewClient(connection{clientConn, &sent})
	beat := Beat{VM: "entry-kyushu-17", Instance: "0191c2f4-8a7e-7d31-9d43-0f6a5b1c2d3e", Number: 1 << 20, Version: 26_000}
	call := func() {
		var answer Beat
		if err := client.Call("Member.Beat", beat, &answer); err != nil {
			b.Fatal(err)
		}
	}
	call()
	sent.Store(0)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "bytes-both-ways/beat")
	if err := client.Close(); err != nil {
		b.Fatal(err)
	}
}

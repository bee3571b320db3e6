package dogwoodquotas_test

import (
	"encoding/gob"
	"fmt"
	"testing"

	"dogwoodmux.example/core/decision/dogwoodquota"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
	"dogwoodmux.example/core/duty/dogwoodquotas"
)

// counter counts the bytes that a connection would carry.
type counter int

func (written *counter) Write(data []byte) (int, error) {
	*written += counter(len(data))
	return len(data), nil
}

// BenchmarkMessageBytes reports the size of each message between daemons, as net/rpc's codec
// writes it on a connection that has carried a message of its type before. The call's header,
// TCP and IP are not included.
func BenchmarkMessageBytes(b *testing.B) {
	request := dogwoodfleet.Request{
		ID: "laurentide-12-8842", Customer: "congregation-17", Service: "redacteur", Model: "clerk-7b", PromptTokens: 1200, MaxTokens: 256,
		Repeatable: true, Digest: dogwoodfleet.Digest{1, 2, 3, 200, 201, 31: 250}, Origin: dogwoodfleet.Place{Region: "qc-est", DataCentre: "qc-est-a"},
	}
	long := request
	for i := range 64 {
		long.Blocks = append(long.Blocks, uint64(i+1)*0x9E3779B97F4A7C15)
	}
	grant := dogwoodowner.Grant{
		ID: dogwoodowner.GrantID{Owner: "laurentide-4-17", Number: 123456}, Lease: dogwoodowner.GrantLease, ReservedTokens: 1456,
		Endpoint: dogwoodfleet.Endpoint{ID: "engine-12", Service: "redacteur", Kind: dogwoodfleet.EnginePool, VM: "engine-12", Place: request.Origin, InForce: true, MemoryTokens: 400_000, Models: []dogwoodfleet.Model{"clerk-7b"}},
	}
	var renewal struct{ Grants []dogwoodowner.GrantID }
	for i := range uint64(10) {
		renewal.Grants = append(renewal.Grants, dogwoodowner.GrantID{Owner: "laurentide-4-17", Number: 123456 + i})
	}
	messages := []struct {
		name  string
		value any
	}{
		{"quota report", dogwoodquotas.ReportArgs{Entry: "laurentide-4-17", Reports: []dogwoodquota.Report{{Customer: "congregation-17", Demand: dogwoodquota.Rate{Requests: 1.25, Tokens: 1830.5}}}}},
		{"quota share", dogwoodquotas.ReportReply{Shares: []dogwoodquota.Share{{Customer: "congregation-17", Rate: dogwoodquota.Rate{Requests: 2.5, Tokens: 3661}, Next: 30e9}}}},
		{"suspect notice", []dogwoodsuspect.Notice{{Kind: dogwoodsuspect.Strike, Digest: request.Digest, Request: request.ID, Endpoint: "engine-12"}}},
		{"ask, short prompt", dogwoodowner.AcquireRequest{Request: request, Holder: "laurentide-4-17", Try: 1, Budget: 30e9}},
		{"ask, 64 blocks", dogwoodowner.AcquireRequest{Request: long, Holder: "laurentide-4-17", Try: 1, Budget: 30e9}},
		{"grant", grant},
		{"release", dogwoodowner.Release{ID: grant.ID, Result: dogwoodfleet.ResultDone, FirstToken: 12e6, Took: 812e6, PromptTokens: 1188, OutputTokens: 160, Instance: "engine-12-3"}},
		{"renewal of 10", renewal},
	}
	for _, message := range messages {
		b.Run(fmt.Sprintf("message=%s", message.name), func(b *testing.B) {
			var sent counter
			encoder := gob.NewEncoder(&sent)
			if err := encoder.Encode(message.value); err != nil {
				b.Fatal(err)
			}
			sent = 0
			for b.Loop() {
				if err := encoder.Encode(message.value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "B/message")
		})
	}
}

package dogwoodsuspects

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// BenchmarkHarmlessRequest measures what each request costs that no endpoint ended under.
func BenchmarkHarmlessRequest(b *testing.B) {
	duty := New(Options{
		Self: "me", Hubs: func() []Peer { return nil }, Listed: func() []Peer { return nil },
		Role: func() (bool, <-chan struct{}) { return false, nil }, Clock: func() time.Duration { return 0 }, Logger: hclog.NewNullLogger(),
	})
	duty.knowledge.confirm(0)
	b.ReportAllocs()
	subject := &dogwoodsuspect.Subject{Request: "r", Customer: "c", Parts: []dogwoodfleet.PromptPart{"s/m/1", "s/m/2", "s/m/3"}}
	for number := uint64(0); b.Loop(); number++ {
		binary.BigEndian.PutUint64(subject.Digest[:], number)
		permit, err := duty.Admit(b.Context(), subject)
		if err != nil || !duty.StillAdmitted(permit, subject) {
			b.Fatal("got a harmless request refused")
		}
		permit.Return(b.Context())
		duty.Began(b.Context(), subject, time.Now())
		duty.Finished(b.Context(), subject)
	}
}

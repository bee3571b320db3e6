package dogwoodsettings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// BenchmarkText measures the size of a text and the cost of parsing it by the number of
// customers. Every daemon parses the text at each change.
func BenchmarkText(b *testing.B) {
	for _, customers := range []int{10, 300, 2700} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			text := Text{Services: []Service{{
				Name: "lot-desk", Kind: dogwoodfleet.PlainService, ColdLimit: 2, WarmLimit: 32,
				Deadline: Duration(5 * time.Second), MaxDeadline: Duration(30 * time.Second),
			}}}
			for i := range customers {
				text.Customers = append(text.Customers, Customer{
					Name: dogwoodfleet.Customer(fmt.Sprintf("customer-%04d", i)), Weight: 1,
					KeySHA256: []string{fmt.Sprintf("%064x", i+1)},
				})
			}
			source, err := json.MarshalIndent(text, "", "\t")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := ParseText(source); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(source)), "bytes/text")
			b.ReportMetric(float64(len(source))/float64(customers), "bytes/customer")
		})
	}
}

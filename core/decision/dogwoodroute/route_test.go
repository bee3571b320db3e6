package dogwoodroute

import (
	"math/rand/v2"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

func testTable() *Table {
	return NewTable(7, Limits{},
		[]Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Splits: []Split{{Service: "one", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Public: true, Splits: []Split{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
		},
		[]Service{{Name: "one", ColdPerSecond: 36}},
		Access{KeysRequired: true, Customers: []Customer{{Name: "house", Keys: []string{"k1", "k2"}}}},
	)
}

func TestRoute(t *testing.T) {
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
	}
	table := testTable()
	for _, test := range tests {
		got := ""
		if route, ok := table.Route(test.host, test.path); ok {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestKeys(t *testing.T) {
	table := testTable()
	for _, key := range []string{"k1", "k2"} {
		if got, ok := table.Customer(key); !ok || got != "house" {
			t.Errorf("key %s: got %q, %v, want house", key, got, ok)
		}
	}
	if _, ok := table.Customer("k3"); ok {
		t.Error("got a customer for an unknown key, want none")
	}
	short, _ := table.Route("a.example", "/x/1")
	long, _ := table.Route("a.example", "/x/y/1")
	if !table.NeedsKey(short) || table.NeedsKey(long) {
		t.Error("want a key for the first route and none for the public one")
	}
}

// Guards against a text that lets everybody in, since the list of customers that it has is empty.
func TestAccess(t *testing.T) {
	tests := []struct {
		name   string
		access Access
		want   bool
	}{
		{"no list", Access{}, false},
		{"an empty list", Access{KeysRequired: true}, true},
		{"a customer without keys", Access{KeysRequired: true, Customers: []Customer{{Name: "house"}}}, true},
		{"a customer with a key", Access{KeysRequired: true, Customers: []Customer{{Name: "house", Keys: []string{"k1"}}}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(1, Limits{}, nil, nil, test.access)
			if got := table.NeedsKey(&Route{}); got != test.want {
				t.Errorf("got a key needed: %t, want %t", got, test.want)
			}
			if table.NeedsKey(&Route{Public: true}) {
				t.Error("got a key needed for a public route, want none")
			}
		})
	}
}

// Guards against requests without a key that run as those of a customer with an empty one.
func TestEmptyKeyIsNoKey(t *testing.T) {
	table := NewTable(1, Limits{}, nil, nil, Access{KeysRequired: true, Customers: []Customer{{Name: "house", Keys: []string{"", "k1"}}}})
	if got, ok := table.Customer(""); ok {
		t.Errorf("got the customer %q for a request without a key, want none", got)
	}
	if got, ok := table.Customer("k1"); !ok || got != "house" {
		t.Errorf("got %q, %v for the other key, want house", got, ok)
	}
}

// Guards against a customer's rank that has no effect where the route has one, and the other way round.
func TestRank(t *testing.T) {
	rank := 0
	route := Route{Host: "a.example", Prefix: "/", Rank: 2}
	table := NewTable(1, Limits{}, []Route{route}, nil, Access{KeysRequired: true, Customers: []Customer{{Name: "urgent", Rank: &rank}, {Name: "other"}}})
	tests := []struct {
		customer dogwoodfleet.Customer
		want     int
	}{
		{"urgent", 0},
		{"other", 2},
		{"", 2},
	}
	for _, test := range tests {
		if got := table.Rank(&route, test.customer); got != test.want {
			t.Errorf("customer %q: got rank %d, want %d", test.customer, got, test.want)
		}
	}
}

// Guards against requests for a service to which the text sends none.
func TestServiceWithoutWeightIsNotPicked(t *testing.T) {
	tests := []struct {
		name   string
		splits []Split
		want   dogwoodfleet.Service
	}{
		{"no split", nil, ""},
		{"no weight", []Split{{"one", 0}, {"two", 0}}, ""},
		{"the first has none", []Split{{"one", 0}, {"two", 0.1}}, "two"},
		{"the last has none", []Split{{"one", 0.1}, {"two", 0}}, "one"},
		{"a weight below zero", []Split{{"one", 1}, {"two", -1}}, "one"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route, random := Route{Splits: test.splits}, rand.New(rand.NewPCG(1, 1))
			for range 1000 {
				if got := route.Pick(random); got != test.want {
					t.Fatalf("got %q, want %q", got, test.want)
				}
			}
		})
	}
}

func TestSplitsByWeight(t *testing.T) {
	route, _ := testTable().Route("a.example", "/x/y/1")
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[dogwoodfleet.Service]int{}
	for range 10_000 {
		counts[route.Pick(random)]++
	}
	if got := counts["two"]; got < 900 || got > 1100 {
		t.Errorf("got %d of 10000 for a tenth, want about 1000", got)
	}
}

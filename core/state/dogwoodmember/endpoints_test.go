package dogwoodmember

import (
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/state/dogwoodchange"
)

func listed(name, service, dataCentre string, state dogwoodfleet.VMState) dogwoodfleet.ListedVM {
	return dogwoodfleet.ListedVM{
		Name: dogwoodfleet.VM(name), Service: dogwoodfleet.Service(service), State: state,
		Place: dogwoodfleet.Place{Region: "kyushu", DataCentre: dogwoodfleet.DataCentre(dataCentre)},
	}
}

// A data centre and a VM elsewhere are taken out, a third VM is leaving according to the
// platform's list, and an endpoint reports that it is leaving. Work sent to any of them would
// be cut off when its VM stops.
func TestEndpointsInForce(t *testing.T) {
	members := New(Options{Self: Member{VM: "entry-1"}})
	members.SetView(dogwoodchange.View{
		Version:        7,
		Text:           &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: "lot-desk", Kind: dogwoodfleet.PlainService}}},
		OutDataCentres: []dogwoodfleet.DataCentre{"oita-c"},
		OutVMs:         []dogwoodfleet.VM{"taken-out"},
	})
	members.SetListed([]dogwoodfleet.ListedVM{
		listed("stays", "lot-desk", "fukuoka-a", dogwoodfleet.Live),
		listed("place-out", "lot-desk", "oita-c", dogwoodfleet.Live),
		listed("taken-out", "lot-desk", "fukuoka-a", dogwoodfleet.Live),
		listed("leaving", "lot-desk", "fukuoka-a", dogwoodfleet.Leaving),
		listed("leaving-by-word", "lot-desk", "fukuoka-a", dogwoodfleet.Live),
		listed("not-in-text", "unknown", "fukuoka-a", dogwoodfleet.Live),
		listed("entry-2", "", "fukuoka-a", dogwoodfleet.Live),
	})
	members.SetEndpointLeaving("leaving-by-word", true)
	want := map[dogwoodfleet.EndpointID]bool{
		"stays": true, "place-out": false, "taken-out": false, "leaving": false, "leaving-by-word": false,
	}
	check := func(when string) {
		t.Helper()
		got := members.Endpoints()
		if len(got) != len(want) {
			t.Errorf("%s: got %d endpoints, want %d", when, len(got), len(want))
		}
		for _, endpoint := range got {
			if endpoint.InForce != want[endpoint.ID] {
				t.Errorf("%s: %s: got in force %v, want %v", when, endpoint.ID, endpoint.InForce, want[endpoint.ID])
			}
		}
	}
	check("at first")
	members.SetListed(nil)
	check("after an empty list")
	members.SetView(dogwoodchange.View{Version: 6})
	check("after an older view")
	members.SetEndpointLeaving("leaving-by-word", false)
	want["leaving-by-word"] = true
	check("after it stopped reporting that it is leaving")
}

// Callers request the addresses of entry daemons while one is in a data centre that is taken out,
// one is leaving according to the list and one according to its own record. Callers that were sent
// to any of them would soon have to switch to another.
func TestEntryDaemonsInService(t *testing.T) {
	members := New(Options{Self: Member{VM: "entry-1"}})
	members.SetView(dogwoodchange.View{Version: 1, OutDataCentres: []dogwoodfleet.DataCentre{"oita-c"}})
	members.SetListed([]dogwoodfleet.ListedVM{
		listed("stays", "", "fukuoka-a", dogwoodfleet.Live),
		listed("listed-leaving", "", "fukuoka-a", dogwoodfleet.Leaving),
	})
	tests := []struct {
		member Member
		want   bool
	}{
		{member: Member{VM: "stays", Place: dogwoodfleet.Place{DataCentre: "fukuoka-a"}}, want: true},
		{member: Member{VM: "not-listed-yet", Place: dogwoodfleet.Place{DataCentre: "fukuoka-a"}}, want: true},
		{member: Member{VM: "place-out", Place: dogwoodfleet.Place{DataCentre: "oita-c"}}},
		{member: Member{VM: "listed-leaving", Place: dogwoodfleet.Place{DataCentre: "fukuoka-a"}}},
		{member: Member{VM: "leaving", Place: dogwoodfleet.Place{DataCentre: "fukuoka-a"}, Leaving: true}},
	}
	for _, test := range tests {
		if got := members.InService(test.member); got != test.want {
			t.Errorf("%s: got in service %v, want %v", test.member.VM, got, test.want)
		}
	}
}

package dogwoodchange

import (
	"slices"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Stranded returns the services that have an endpoint in service now and would have none
// after the take-out.
//
// Without this check, an operator who takes out the second of two data centres during maintenance
// of the first would stop a service with one command and without a warning.
func Stranded(view View, vms []dogwoodfleet.ListedVM, change Change) []dogwoodfleet.Service {
	serving := map[dogwoodfleet.Service]bool{}
	for _, vm := range vms {
		if vm.Service == "" || vm.State != dogwoodfleet.Live || view.Out(vm.Place.DataCentre, vm.Name) {
			continue
		}
		affected := (change.DataCentre != "" && change.DataCentre == vm.Place.DataCentre) ||
			(change.VM != "" && change.VM == vm.Name)
		serving[vm.Service] = serving[vm.Service] || !affected
	}
	var stranded []dogwoodfleet.Service
	for service, remains := range serving {
		if !remains {
			stranded = append(stranded, service)
		}
	}
	slices.Sort(stranded)
	return stranded
}

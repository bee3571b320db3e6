package dogwoodboard

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// A single failed call between daemons must not lose an update permanently.
func TestLostNewsAreToldAgain(t *testing.T) {
	t.Run("the end of a leaf's request", checkEndOfLeafRequest)
	t.Run("a leaf's update that a hub forwards", checkForwardedUpdate)
	t.Run("an endpoint to avoid", checkEndpointToAvoid)
}

func checkEndOfLeafRequest(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		nodes[2].place("leaf")
		time.Sleep(10 * time.Millisecond)
		mesh.setCut(true)
		nodes[2].duty.End("leaf")
		time.Sleep(200 * time.Millisecond)
		mesh.setCut(false)
		time.Sleep(3 * time.Second)
		if got := nodes[0].visibleWork(); got != 0 {
			t.Errorf("got %d requests at the hub, want none", got)
		}
	})
}

func checkForwardedUpdate(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		nodes[2].place("before")
		time.Sleep(10 * time.Millisecond)
		nodes[2].place("leaf")
		nodes[2].duty.End("before")
		time.Sleep(time.Millisecond)
		mesh.setCut(true)
		time.Sleep(300 * time.Millisecond)
		mesh.setCut(false)
		time.Sleep(3 * time.Second)
		for i, node := range nodes[:2] {
			if got := node.visibleWork(); got != 1 {
				t.Errorf("hub %d: got %d requests, want 1", i, got)
			}
		}
		if got := nodes[1].board.WorkExcept("x"); len(got) != 1 || got[0].ID != "leaf" {
			t.Errorf("got %v at the other hub, want only the leaf's second request", got)
		}
	})
}

func checkEndpointToAvoid(t *testing.T) {
	for _, cut := range []bool{false, true} {
		runMesh(t, 2, func(t *testing.T, nodes []*node, mesh *mesh) {
			var endpoints []dogwoodpacking.Endpoint
			for _, id := range []dogwoodfleet.EndpointID{"e", "f"} {
				endpoints = append(endpoints, dogwoodpacking.Endpoint{Endpoint: dogwoodfleet.Endpoint{ID: id, Service: "s", InForce: true}, Slots: 100})
			}
			for _, node := range nodes {
				node.board.SetEndpoints(endpoints)
			}
			mesh.setCut(cut)
			nodes[0].duty.Avoid(time.Now(), "e", 10*time.Second)
			time.Sleep(200 * time.Millisecond)
			mesh.setCut(false)
			time.Sleep(time.Second)
			for i, node := range nodes {
				placedAt := map[dogwoodfleet.EndpointID]int{}
				for number := range 10 {
					request := &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(fmt.Sprint(i, number)), Service: "s", Until: time.Now().Add(time.Second)}
					placement, _ := node.board.Place(time.Now(), request)
					placedAt[placement.Endpoint.ID]++
				}
				if got := placedAt["e"]; got != 0 {
					t.Errorf("cut %t, daemon %d: got %d of 10 requests placed at the endpoint to avoid, want none", cut, i, got)
				}
			}
		})
	}
}

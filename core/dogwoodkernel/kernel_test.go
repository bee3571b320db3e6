package dogwoodkernel

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
)

func TestStartOrderAndReverseStop(t *testing.T) {
	var events []string
	for _, plugin := range []Plugin{
		{Name: "order-c", Needs: []string{"order-b"}},
		{Name: "order-b", Needs: []string{"order-a"}},
		{Name: "order-a"},
	} {
		plugin.Start = func(context.Context, *Kernel) (Part, error) {
			events = append(events, "start "+plugin.Name)
			return StopFunc(func(context.Context) error {
				events = append(events, "stop "+plugin.Name)
				return nil
			}), nil
		}
		Register(plugin)
	}
	kernel := New(t.Context(), hclog.NewNullLogger(), nil)
	if err := kernel.Start(t.Context(), "order-c"); err != nil {
		t.Fatal(err)
	}
	if err := kernel.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"start order-a", "start order-b", "start order-c",
		"stop order-c", "stop order-b", "stop order-a",
	}
	if got := events; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestStartRejectsDependencyCycle(t *testing.T) {
	Register(Plugin{Name: "cycle-a", Needs: []string{"cycle-b"}})
	Register(Plugin{Name: "cycle-b", Needs: []string{"cycle-a"}})
	kernel := New(t.Context(), hclog.NewNullLogger(), nil)
	if err := kernel.Start(t.Context(), "cycle-a"); err == nil {
		t.Error("got no error, want one for the dependency cycle")
	}
	if err := kernel.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestFailedBackgroundTaskStopsKernel(t *testing.T) {
	kernel := New(t.Context(), hclog.NewNullLogger(), nil)
	errTask := errors.New("broken")
	kernel.Go("breaks", func(context.Context) error { return errTask })
	kernel.Wait(t.Context())
	if got := kernel.Stop(t.Context()); !errors.Is(got, errTask) {
		t.Errorf("got %v, want %v", got, errTask)
	}
}

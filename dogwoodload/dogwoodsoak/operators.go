package dogwoodsoak

import (
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// ofStore is a fault that all daemons feel.
var ofStore = dogwoodsoakcheck.Fault{Daemon: dogwoodsoakcheck.Everybody}

func (site *site) storeStep(ctx context.Context, step dogwoodsoakplan.Step) error {
	faults := dogwoodstandin.StoreFaults{}
	switch step.Kind {
	case dogwoodsoakplan.StoreForgets:
		return site.during(&site.storeFault, ofStore, func() error { return site.control.Forget(ctx) })
	case dogwoodsoakplan.TextChanged:
		return site.publish(ctx, nil)
	case dogwoodsoakplan.StoreDown:
		faults.Down = true
	case dogwoodsoakplan.StoreSilent:
		faults.Silent = true
	case dogwoodsoakplan.StoreSlow:
		faults.Delay = 400 * time.Millisecond
	case dogwoodsoakplan.StoreLosing:
		faults.LoseAnswers = true
	default:
		return unknown(step.Kind)
	}
	return site.during(&site.storeFault, ofStore, func() error {
		if err := site.control.SetFaults(ctx, faults); err != nil {
			return err
		}
		dogwoodkernel.Sleep(ctx, step.For)
		return site.control.SetFaults(ctx, dogwoodstandin.StoreFaults{})
	})
}

// withdraw takes a key away and gives it back.
func (site *site) withdraw(ctx context.Context, key string, lasts time.Duration) error {
	already := false
	err := site.publish(ctx, func() {
		already = site.withdrawn[key]
		site.withdrawn[key] = true
	})
	if err != nil || already {
		return err
	}
	withdrawal := dogwoodsoakcheck.Withdrawal{Key: key, From: time.Now()}
	dogwoodkernel.Sleep(ctx, lasts)
	withdrawal.To = time.Now()
	site.mutex.Lock()
	site.seen.Withdrawals = append(site.seen.Withdrawals, withdrawal)
	site.mutex.Unlock()
	return site.publish(ctx, func() { site.withdrawn[key] = false })
}

// takeOut takes a data centre out and brings it back.
func (site *site) takeOut(ctx context.Context, number int, lasts time.Duration) error {
	site.takenOut[number].Lock()
	defer site.takenOut[number].Unlock()
	if err := site.setOut(ctx, dataCentres[number], true); err != nil {
		return err
	}
	takeOut := dogwoodsoakcheck.TakeOut{DataCentre: dataCentres[number], From: time.Now()}
	dogwoodkernel.Sleep(ctx, lasts)
	takeOut.To = time.Now()
	site.mutex.Lock()
	site.seen.TakeOuts = append(site.seen.TakeOuts, takeOut)
	site.mutex.Unlock()
	return site.setOut(ctx, dataCentres[number], false)
}

func (site *site) setOut(ctx context.Context, dataCentre string, out bool) error {
	return site.changing(dogwoodsoakcheck.Everybody, func() error {
		return dogwoodstandin.TakeOut(ctx, site.control, dataCentre, out)
	})
}

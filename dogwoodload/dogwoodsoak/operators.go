package dogwoodsoak

import (
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// storeFault is a fault that affects all daemons.
var storeFault = dogwoodsoakcheck.Fault{Daemon: dogwoodsoakcheck.AllDaemons}

func (site *site) storeStep(ctx context.Context, step dogwoodsoakplan.Step) error {
	faults := dogwoodstandin.StoreFaults{}
	switch step.Kind {
	case dogwoodsoakplan.StoreForgets:
		return site.recordFault(&site.storeMutex, storeFault, func() error { return site.control.DropHistory(ctx) })
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
		return unknownKind(step.Kind)
	}
	return site.recordFault(&site.storeMutex, storeFault, func() error {
		if err := site.control.SetFaults(ctx, faults); err != nil {
			return err
		}
		dogwoodkernel.Sleep(ctx, step.For)
		return site.control.SetFaults(ctx, dogwoodstandin.StoreFaults{})
	})
}

// withdrawKey withdraws a key and restores it. It does nothing if the key is already withdrawn.
func (site *site) withdrawKey(ctx context.Context, key string, duration time.Duration) error {
	already := false
	err := site.publish(ctx, func() {
		already = site.withdrawn[key]
		site.withdrawn[key] = true
	})
	if err != nil || already {
		return err
	}
	withdrawal := dogwoodsoakcheck.Withdrawal{Key: key, From: time.Now()}
	dogwoodkernel.Sleep(ctx, duration)
	withdrawal.To = time.Now()
	site.mutex.Lock()
	site.recorded.Withdrawals = append(site.recorded.Withdrawals, withdrawal)
	site.mutex.Unlock()
	return site.publish(ctx, func() { site.withdrawn[key] = false })
}

// takeOutDataCentre takes a data centre out of service and brings it back.
func (site *site) takeOutDataCentre(ctx context.Context, number int, duration time.Duration) error {
	site.takenOut[number].Lock()
	defer site.takenOut[number].Unlock()
	if err := site.setTakenOut(ctx, dataCentres[number], true); err != nil {
		return err
	}
	takeOut := dogwoodsoakcheck.TakeOut{DataCentre: dataCentres[number], From: time.Now()}
	dogwoodkernel.Sleep(ctx, duration)
	takeOut.To = time.Now()
	site.mutex.Lock()
	site.recorded.TakeOuts = append(site.recorded.TakeOuts, takeOut)
	site.mutex.Unlock()
	return site.setTakenOut(ctx, dataCentres[number], false)
}

func (site *site) setTakenOut(ctx context.Context, dataCentre string, out bool) error {
	return site.recordChange(dogwoodsoakcheck.AllDaemons, func() error {
		return dogwoodstandin.TakeOut(ctx, site.control, dataCentre, out)
	})
}

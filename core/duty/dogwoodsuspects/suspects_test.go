package dogwoodsuspects

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// latency is the time that a call between daemons takes.
	latency = time.Millisecond
	// pollInterval is the time between two polls of a leaf.
	pollInterval = time.Second
	// crashDelay is the time from the start of a run that crashes its endpoint to its end.
	crashDelay = 200 * time.Millisecond
)

var crashing = dogwoodfleet.Digest{1}

// subjectOf returns the subject of a copy of the crashing request.
func subjectOf(request dogwoodfleet.RequestID) *dogwoodsuspect.Subject {
	return &dogwoodsuspect.Subject{Digest: crashing, Request: request}
}

// fleet is a number of daemons in one process. The first hubs of them are hubs, the others leaves of the first.
type fleet struct {
	hubs    int
	started time.Time
	// start runs another daemon until the test ends.
	start func(duty *Duty)

	mutex    sync.Mutex
	duties   []*Duty
	cut      map[int]bool // daemons that no call reaches
	promoted map[int]bool // leaves that have become hubs and know no other hub yet
	// roleChanged is closed at the next promotion.
	roleChanged chan struct{}
	endpoints   int
	crashes     int
	// listed counts the notices in the answers to comparisons.
	listed int
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1)
}

func (fleet *fleet) peer(index int) Peer {
	return Peer{Instance: dogwoodfleet.InstanceID(fmt.Sprint(index)), Address: address(index)}
}

// caller calls other daemons of the fleet.
type caller struct {
	fleet *fleet
	self  int
}

// Call calls a method of another daemon.
func (caller caller) Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	time.Sleep(latency)
	index := int(peer.Addr().As4()[3])
	caller.fleet.mutex.Lock()
	duty, cut := caller.fleet.duties[index], caller.fleet.cut[index] || caller.fleet.cut[caller.self]
	caller.fleet.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	receiver := duty.Receiver()
	switch method {
	case Name + ".Learn":
		return receiver.Learn(args.([]dogwoodsuspect.Notice), reply.(*bool))
	case Name + ".Judge":
		return receiver.Judge(args.(dogwoodsuspect.PermitRequest), reply.(*dogwoodsuspect.PermitResponse))
	case Name + ".Refused":
		return receiver.Refused(args.(dogwoodfleet.InstanceID), reply.(*RefusedList))
	case Name + ".List":
		list := reply.(*NoticeList)
		err := receiver.List(args.(uint64), list)
		caller.fleet.mutex.Lock()
		defer caller.fleet.mutex.Unlock()
		caller.fleet.listed += len(list.Notices)
		return err
	}
	return fmt.Errorf("no method %s", method)
}

func (fleet *fleet) newDuty(index int) *Duty {
	duty := New(Options{
		Self: fleet.peer(index).Instance, Caller: caller{fleet, index},
		Hubs: func() []Peer {
			if fleet.isPromoted(index) {
				return []Peer{fleet.peer(index)}
			}
			return fleet.listedHubs()
		},
		Listed: fleet.listedHubs,
		Role: func() (bool, <-chan struct{}) {
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			return index >= fleet.hubs && !fleet.promoted[index], fleet.roleChanged
		},
		Clock:  func() time.Duration { return time.Since(fleet.started) },
		Logger: hclog.NewNullLogger(),
	})
	duty.SetEndpoints(listed())
	return duty
}

func (fleet *fleet) listedHubs() []Peer {
	hubs := make([]Peer, fleet.hubs)
	for i := range hubs {
		hubs[i] = fleet.peer(i)
	}
	return hubs
}

// promote makes a leaf a hub that has not heard from the other hubs yet.
func (fleet *fleet) promote(index int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.promoted[index] = true
	close(fleet.roleChanged)
	fleet.roleChanged = make(chan struct{})
}

func (fleet *fleet) isPromoted(index int) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.promoted[index]
}

// listed returns more endpoints than any test ends.
func listed() []dogwoodpacking.Endpoint {
	endpoints := make([]dogwoodpacking.Endpoint, 200)
	for i := range endpoints {
		endpoints[i] = newEndpoint(endpointID(i), "", true)
	}
	return endpoints
}

// newEndpoints returns endpoints that are in force.
func newEndpoints(ids []dogwoodfleet.EndpointID) []dogwoodpacking.Endpoint {
	endpoints := make([]dogwoodpacking.Endpoint, len(ids))
	for i, id := range ids {
		endpoints[i] = newEndpoint(id, "", true)
	}
	return endpoints
}

func newEndpoint(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID, inForce bool) dogwoodpacking.Endpoint {
	return dogwoodpacking.Endpoint{Endpoint: dogwoodfleet.Endpoint{ID: id, Instance: instance, InForce: inForce}}
}

func endpointID(index int) dogwoodfleet.EndpointID {
	return dogwoodfleet.EndpointID(fmt.Sprintf("e%d", index))
}

// runFleetTest runs a test with fake time on a number of hubs and leaves.
func runFleetTest(t *testing.T, hubs, leaves int, body func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{hubs: hubs, started: time.Now(), cut: map[int]bool{}, promoted: map[int]bool{}, roleChanged: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for index := range hubs + leaves {
			fleet.duties = append(fleet.duties, fleet.newDuty(index))
		}
		for _, duty := range fleet.duties {
			group.Go(func() { _ = duty.Run(ctx) })
		}
		group.Go(func() { fleet.pollHub(ctx) })
		fleet.start = func(duty *Duty) { group.Go(func() { _ = duty.Run(ctx) }) }
		time.Sleep(time.Second)
		body(t, fleet)
		cancel()
		group.Wait()
		for _, duty := range fleet.duties {
			duty.Wait()
		}
	})
}

// restart replaces a daemon by one that has just started.
func (fleet *fleet) restart(t *testing.T, index int) *Duty {
	t.Helper()
	fleet.setCut(index, false)
	started := fleet.newDuty(index)
	fleet.mutex.Lock()
	fleet.duties[index] = started
	fleet.mutex.Unlock()
	fleet.start(started)
	fleet.poll(index)
	return started
}

// poll shows the version of the first hub's list to a leaf, as the answer to a poll does.
func (fleet *fleet) poll(index int) {
	if index >= fleet.hubs && !fleet.isPromoted(index) {
		fleet.duty(index).SeeRefused(fleet.peer(0), fleet.duty(0).RefusedVersion(), time.Since(fleet.started))
	}
}

// pollHub shows it to all leaves again and again.
func (fleet *fleet) pollHub(ctx context.Context) {
	for dogwoodkernel.Sleep(ctx, pollInterval) {
		for index := range fleet.duties {
			fleet.poll(index)
		}
	}
}

func (fleet *fleet) duty(index int) *Duty {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.duties[index]
}

// setCut sets whether calls reach a daemon and its own calls arrive.
func (fleet *fleet) setCut(index int, cut bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cut[index] = cut
}

// send sends the crashing request through a daemon to an endpoint that is still alive.
func (fleet *fleet) send(ctx context.Context, index int, request string) error {
	duty := fleet.duty(index)
	permit, err := duty.Admit(ctx, subjectOf(dogwoodfleet.RequestID(request)))
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	endpoint := dogwoodfleet.Endpoint{ID: endpointID(fleet.endpoints)}
	fleet.endpoints++
	fleet.mutex.Unlock()
	time.Sleep(crashDelay)
	fleet.mutex.Lock()
	fleet.crashes++
	fleet.mutex.Unlock()
	notified := duty.Broke(ctx, Run{Subject: *subjectOf(dogwoodfleet.RequestID(request)), Endpoint: endpoint, Trial: permit.IsTrial()}, Replaced)
	permit.Return(ctx)
	<-notified // only now may the caller learn of the failure
	return nil
}

// sendAll sends copies through several daemons at the same moment.
func (fleet *fleet) sendAll(ctx context.Context, name string, daemons ...int) {
	var group sync.WaitGroup
	for _, index := range daemons {
		group.Go(func() { _ = fleet.send(ctx, index, fmt.Sprintf("%s-%d", name, index)) }) // a refusal is expected
	}
	group.Wait()
}

func isConvicted(err error) bool {
	var refused *Refused
	return errors.As(err, &refused) && refused.Convicted
}

// Guards against copies of a crashing request that end one endpoint for each daemon and each moment they are sent at:
// after the first moment one trial at most ends another one.
func TestCopiesAtTheSameMomentAreTriedOnce(t *testing.T) {
	const hubs = 8
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	runFleetTest(t, hubs, 0, func(t *testing.T, fleet *fleet) {
		for moment := range 5 {
			fleet.sendAll(t.Context(), fmt.Sprint(moment), all...)
		}
		if got, limit := fleet.crashes, hubs+1; got > limit {
			t.Errorf("got %d endpoints ended, want at most one for each copy of the first moment and one for a trial, %d", got, limit)
		}
		for _, index := range all {
			if err := fleet.send(t.Context(), index, "late"); !isConvicted(err) {
				t.Errorf("daemon %d: got %v, want the request refused", index, err)
			}
		}
	})
}

// Guards against a caller that repeats a crashing request at once through one daemon after the other, each of which would
// lose an endpoint before it compares its ledger: the ends are known to all before the caller learns of the failure.
func TestCallerThatRepeatsAtOnceEndsTwoEndpoints(t *testing.T) {
	const hubs = 8
	runFleetTest(t, hubs, 0, func(t *testing.T, fleet *fleet) {
		for index := range hubs {
			_ = fleet.send(t.Context(), index, fmt.Sprint(index)) // later ones are refused
		}
		if got := fleet.crashes; got != 2 {
			t.Errorf("got %d endpoints ended, want 2", got)
		}
	})
}

// Guards against daemons that learn of a crashing request only by an endpoint of their own: one that starts, one that
// missed the notices while it was frozen, and a leaf that was idle.
func TestDaemonsLearnWithoutLosingAnEndpoint(t *testing.T) {
	const frozen, leaf = 2, 3
	runFleetTest(t, 3, 1, func(t *testing.T, fleet *fleet) {
		fleet.setCut(frozen, true)
		for number := range 3 {
			_ = fleet.send(t.Context(), 0, fmt.Sprint(number))
		}
		crashes := fleet.crashes
		time.Sleep(pollInterval + 10*latency)
		if err := fleet.send(t.Context(), leaf, "at a leaf"); !isConvicted(err) {
			t.Errorf("a leaf: got %v, want the request refused", err)
		}
		fleet.setCut(frozen, false)
		time.Sleep(2 * compareInterval)
		if err := fleet.send(t.Context(), frozen, "after the freeze"); !isConvicted(err) {
			t.Errorf("a daemon that was frozen: got %v, want the request refused", err)
		}
		fleet.restart(t, frozen)
		time.Sleep(2 * retryInterval)
		if err := fleet.send(t.Context(), frozen, "after the start"); !isConvicted(err) {
			t.Errorf("a daemon that has started: got %v, want the request refused", err)
		}
		if fleet.crashes != crashes {
			t.Errorf("got %d more endpoints ended, want none", fleet.crashes-crashes)
		}
	})
}

// Guards against a daemon that ends an endpoint by a request that all others refuse, since it does not know their ledgers
// at that moment: it has just started or been promoted, or it was frozen.
func TestDaemonWithoutOthersLedgersRunsNothing(t *testing.T) {
	const leaf, hub = 3, 2
	tests := []struct {
		name string
		// prepare puts a daemon into that state and returns it.
		prepare func(t *testing.T, fleet *fleet) *Duty
	}{
		{"a hub that has just started", func(t *testing.T, fleet *fleet) *Duty { return fleet.restart(t, hub) }},
		{"a leaf that has just started", func(t *testing.T, fleet *fleet) *Duty { return fleet.restart(t, leaf) }},
		{"a leaf that has just been promoted", func(_ *testing.T, fleet *fleet) *Duty {
			time.Sleep(pollInterval + 10*latency)
			fleet.promote(leaf)
			return fleet.duty(leaf)
		}},
		{"a hub that was cut off", func(_ *testing.T, fleet *fleet) *Duty {
			fleet.setCut(hub, false)
			return fleet.duty(hub)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleetTest(t, 3, 1, func(t *testing.T, fleet *fleet) {
				fleet.setCut(hub, true)
				time.Sleep(10 * time.Second)
				for number := range 3 {
					_ = fleet.send(t.Context(), 0, fmt.Sprint(number)) // the last one is refused
				}
				duty := test.prepare(t, fleet)
				began := time.Now()
				if _, err := duty.Admit(t.Context(), subjectOf("late")); !isConvicted(err) {
					t.Errorf("got %v, want the request refused", err)
				}
				if waited := time.Since(began); waited > time.Second {
					t.Errorf("got the request refused after %s, want it soon", waited)
				}
			})
		})
	}
}

// Guards against requests that wait although no other daemon can tell anything: all start at the same moment, as after a loss
// of power, or one is cut off from the others for long.
func TestDaemonsWithoutKnowledgeServe(t *testing.T) {
	const hubs = 3
	tests := []struct {
		name    string
		prepare func(t *testing.T, fleet *fleet)
		want    time.Duration // the longest wait of the first request; later ones don't wait
	}{
		{"all start at once", func(t *testing.T, fleet *fleet) {
			for index := range hubs {
				fleet.restart(t, index)
			}
		}, 10 * latency},
		{"the others are silent", func(t *testing.T, fleet *fleet) {
			fleet.setCut(1, true)
			fleet.setCut(2, true)
			fleet.restart(t, 0)
		}, compareTimeout},
		{"it is cut off for long", func(_ *testing.T, fleet *fleet) {
			fleet.setCut(0, true)
			time.Sleep(time.Minute)
		}, maxKnowledgeWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleetTest(t, hubs, 0, func(t *testing.T, fleet *fleet) {
				test.prepare(t, fleet)
				for number, want := range []time.Duration{test.want, 0} {
					began := time.Now()
					permit, err := fleet.duty(0).Admit(t.Context(), subjectOf("harmless"))
					if permit != nil || err != nil {
						t.Errorf("request %d: got permit %v and error %v, want the request admitted", number, permit, err)
					}
					if waited := time.Since(began); waited > want {
						t.Errorf("request %d: got it admitted after %s, want %s at most", number, waited, want)
					}
				}
			})
		})
	}
}

// Guards against suspects that wait in vain while the daemon that grants their permits is cut off, and against a trial for
// each daemon that can't reach it: the others agree on the next one.
func TestUnreachableHomeIsReplaced(t *testing.T) {
	const hubs = 5
	runFleetTest(t, hubs, 0, func(t *testing.T, fleet *fleet) {
		home := dogwoodsuspect.Home(crashing, []dogwoodfleet.InstanceID{"0", "1", "2", "3", "4"})
		others := slices.DeleteFunc([]int{0, 1, 2, 3, 4}, func(index int) bool { return index == home })
		if err := fleet.send(t.Context(), others[0], "first"); err != nil {
			t.Fatal(err)
		}
		fleet.setCut(home, true)
		began := time.Now()
		fleet.sendAll(t.Context(), "second", others...)
		if got, limit := time.Since(began), maxSuspectWait+permitTimeout; got > limit {
			t.Errorf("got all answers after %s, want them within %s", got, limit)
		}
		if got := fleet.crashes; got != 2 {
			t.Errorf("got %d endpoints ended, want the first and one by a trial", got)
		}
		for _, index := range others {
			if err := fleet.send(t.Context(), index, "third"); !isConvicted(err) {
				t.Errorf("daemon %d: got %v, want the request refused", index, err)
			}
		}
	})
}

// Guards against a harmless request that waits, or is refused, because the daemon that grants permits is frozen: its engine
// crashed for another reason, and only its own next try is at stake.
func TestOwnRetryNeedsNoOtherDaemon(t *testing.T) {
	runFleetTest(t, 3, 0, func(t *testing.T, fleet *fleet) {
		home := dogwoodsuspect.Home(crashing, []dogwoodfleet.InstanceID{"0", "1", "2"})
		duty := fleet.duty((home + 1) % 3)
		fleet.setCut(home, true)
		duty.Broke(t.Context(), Run{Subject: *subjectOf("r"), Endpoint: dogwoodfleet.Endpoint{ID: "e0"}}, Ended)
		began := time.Now()
		permit, err := duty.Admit(t.Context(), subjectOf("r"))
		if err != nil || !permit.IsTrial() {
			t.Errorf("got permit %v and error %v, want a trial", permit, err)
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("got the request admitted after %s, want it at once", waited)
		}
	})
}

// Guards against a leaf that ends two endpoints by a request that its hub has just begun to refuse: the leaf learns of that
// with its next poll, and the request's own retry comes at once.
func TestLeafAsksBeforeItsOwnRetry(t *testing.T) {
	const leaf = 2
	runFleetTest(t, 2, 1, func(t *testing.T, fleet *fleet) {
		time.Sleep(10 * latency) // the leaf has just polled
		for number := range 2 {
			_ = fleet.send(t.Context(), 0, fmt.Sprint(number))
		}
		if err := fleet.send(t.Context(), leaf, "at a leaf"); err != nil {
			t.Fatalf("got %v, want the request to run before the leaf has polled again", err)
		}
		if _, err := fleet.duty(leaf).Admit(t.Context(), subjectOf("at a leaf")); !isConvicted(err) {
			t.Errorf("its own retry: got %v, want it refused", err)
		}
	})
}

// Guards against a strike for an endpoint that ended as it should: one that was draining, or that had left.
func TestEndpointsThatLeaveAreNoStrikes(t *testing.T) {
	runFleetTest(t, 1, 0, func(t *testing.T, fleet *fleet) {
		duty := fleet.duty(0)
		duty.SetEndpoints([]dogwoodpacking.Endpoint{newEndpoint("draining", "", false), newEndpoint("again", "2", true)})
		for _, endpoint := range []dogwoodfleet.Endpoint{{ID: "draining"}, {ID: "left"}, {ID: "again", Instance: "1"}} {
			duty.Broke(t.Context(), Run{Subject: *subjectOf("1"), Endpoint: endpoint}, Replaced)
		}
		if got, _ := duty.digestStanding(crashing); got != dogwoodsuspect.Clear {
			t.Errorf("got standing %v, want it clear", got)
		}
	})
}

// Guards against an end that is missed since the endpoint could not be asked: its address drops packets, or it starts
// again under its ID before it is asked. Its entry shows the end later, unless it was leaving.
func TestEntryShowsTheEndLater(t *testing.T) {
	running, leaving := newEndpoint("e", "1", true), newEndpoint("e", "1", false)
	tests := []struct {
		name string
		// entries are the entries that are read one after the other.
		entries [][]dogwoodpacking.Endpoint
		want    dogwoodsuspect.Standing
	}{
		{"the entry is gone", [][]dogwoodpacking.Endpoint{{}}, dogwoodsuspect.Suspect},
		{"the entry names another instance", [][]dogwoodpacking.Endpoint{{newEndpoint("e", "2", true)}}, dogwoodsuspect.Suspect},
		{"the entry stays", [][]dogwoodpacking.Endpoint{{running}}, dogwoodsuspect.Clear},
		{"the endpoint was leaving", [][]dogwoodpacking.Endpoint{{leaving}, {}}, dogwoodsuspect.Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleetTest(t, 2, 0, func(t *testing.T, fleet *fleet) {
				duty := fleet.duty(0)
				duty.SetEndpoints([]dogwoodpacking.Endpoint{running})
				duty.Broke(t.Context(), Run{Subject: *subjectOf("1"), Endpoint: dogwoodfleet.Endpoint{ID: "e", Instance: "1"}}, Unknown)
				if got, _ := duty.digestStanding(crashing); got != dogwoodsuspect.Clear {
					t.Errorf("before: got standing %v, want it clear", got)
				}
				for _, entries := range test.entries {
					duty.SetEndpoints(entries)
					time.Sleep(time.Second)
				}
				for index := range 2 {
					if got, _ := fleet.duty(index).digestStanding(crashing); got != test.want {
						t.Errorf("daemon %d: got standing %v, want %v", index, got, test.want)
					}
				}
			})
		})
	}
}

// Guards against refusing a harmless request in the moment in which it is not known yet that its trial's endpoint was one of a
// rack that failed.
func TestTrialOnARackThatFailsIsNotRefused(t *testing.T) {
	runFleetTest(t, 2, 0, func(t *testing.T, fleet *fleet) {
		end := func(index int, digest dogwoodfleet.Digest, endpoint int, trial bool) {
			run := Run{Subject: dogwoodsuspect.Subject{Digest: digest, Request: "1"}, Endpoint: dogwoodfleet.Endpoint{ID: endpointID(endpoint)}, Trial: trial}
			fleet.duty(index).Broke(t.Context(), run, Replaced)
		}
		end(0, crashing, 0, false)
		time.Sleep(time.Second)
		end(0, crashing, 1, true)
		var group sync.WaitGroup
		for index := range 2 {
			group.Go(func() {
				permit, err := fleet.duty(index).Admit(t.Context(), subjectOf(dogwoodfleet.RequestID(fmt.Sprint(index+1))))
				if err != nil || !permit.IsTrial() {
					t.Errorf("daemon %d: got permit %v and error %v, want another trial", index, permit, err)
				}
				permit.Return(t.Context())
			})
		}
		time.Sleep(50 * time.Millisecond)
		for number := range 3 {
			end(1, dogwoodfleet.Digest{2, byte(number)}, 2+number, false)
		}
		group.Wait()
	})
}

// Guards against one trial after the other while the entries of the endpoints that they ended are still listed: an
// endpoint that gives no answer after a trial counts as ended until its entry shows otherwise.
func TestTrialThatBreaksIsNotRepeatedAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		entries []dogwoodpacking.Endpoint
		want    dogwoodsuspect.Standing
	}{
		{"the entry is gone", []dogwoodpacking.Endpoint{}, dogwoodsuspect.Convicted},
		{"the entry stays", listed(), dogwoodsuspect.Suspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleetTest(t, 1, 0, func(t *testing.T, fleet *fleet) {
				duty := fleet.duty(0)
				duty.Broke(t.Context(), Run{Subject: *subjectOf("1"), Endpoint: dogwoodfleet.Endpoint{ID: "e0"}}, Ended)
				permit, err := duty.Admit(t.Context(), subjectOf("2"))
				if err != nil {
					t.Fatal(err)
				}
				duty.Broke(t.Context(), Run{Subject: *subjectOf("2"), Endpoint: dogwoodfleet.Endpoint{ID: "e1"}, Trial: permit.IsTrial()}, Unknown)
				permit.Return(t.Context())
				if _, err := duty.Admit(t.Context(), subjectOf("3")); !isConvicted(err) {
					t.Errorf("just after: got %v, want the request refused", err)
				}
				duty.SetEndpoints(test.entries)
				time.Sleep(dogwoodsuspect.ProvisionalTTL)
				if got, _ := duty.digestStanding(crashing); got != test.want {
					t.Errorf("later: got standing %v, want %v", got, test.want)
				}
			})
		})
	}
}

// Guards against copies of a popular harmless request that wait for each other: one was running when an endpoint ended,
// and the others wait only until the trial has finished.
func TestHarmlessSuspectIsClearedEverywhere(t *testing.T) {
	runFleetTest(t, 3, 0, func(t *testing.T, fleet *fleet) {
		duty := fleet.duty(0)
		duty.Broke(t.Context(), Run{Subject: *subjectOf("1"), Endpoint: dogwoodfleet.Endpoint{ID: "e0"}}, Ended)
		permit, err := duty.Admit(t.Context(), subjectOf("2"))
		if err != nil || !permit.IsTrial() {
			t.Fatalf("got permit %v and error %v, want a trial", permit, err)
		}
		var group sync.WaitGroup
		for index := range 3 {
			group.Go(func() {
				permit, err := fleet.duty(index).Admit(t.Context(), subjectOf(dogwoodfleet.RequestID(fmt.Sprint("copy-", index))))
				if err != nil || permit.IsTrial() {
					t.Errorf("daemon %d: got permit %v and error %v, want the request admitted without a permit", index, permit, err)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		duty.Finished(t.Context(), subjectOf("2"))
		permit.Return(t.Context())
		group.Wait()
	})
}

// Guards against two hubs that send each other their whole ledgers again and again although nothing has changed.
func TestComparisonsOfEqualLedgersAreEmpty(t *testing.T) {
	runFleetTest(t, 2, 0, func(t *testing.T, fleet *fleet) {
		_ = fleet.send(t.Context(), 0, "1")
		time.Sleep(3 * compareInterval)
		fleet.mutex.Lock()
		fleet.listed = 0
		fleet.mutex.Unlock()
		time.Sleep(10 * compareInterval)
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		if fleet.listed != 0 {
			t.Errorf("got %d notices listed, want none", fleet.listed)
		}
	})
}

// Guards against a leaf that runs a request again as soon as its hub's first, short refusal has ended: the ends of the
// endpoints were confirmed meanwhile.
func TestLeafLearnsOfConfirmedEnds(t *testing.T) {
	const leaf = 1
	runFleetTest(t, 1, 1, func(t *testing.T, fleet *fleet) {
		hub := fleet.duty(0)
		for number := range 2 {
			run := Run{Subject: *subjectOf("1"), Endpoint: dogwoodfleet.Endpoint{ID: endpointID(number)}, Trial: number > 0}
			hub.Broke(t.Context(), run, Ended)
		}
		time.Sleep(2 * pollInterval)
		hub.SetEndpoints([]dogwoodpacking.Endpoint{})
		time.Sleep(dogwoodsuspect.ProvisionalTTL)
		if got, _ := fleet.duty(leaf).digestStanding(crashing); got != dogwoodsuspect.Convicted {
			t.Errorf("got standing %v, want it convicted", got)
		}
	})
}

// Guards against a leaf that goes on refusing a request that its hub does not refuse any more.
func TestLeafFollowsItsHubsList(t *testing.T) {
	const leaf = 2
	runFleetTest(t, 2, 1, func(t *testing.T, fleet *fleet) {
		for number := range 3 {
			_ = fleet.send(t.Context(), 0, fmt.Sprint(number))
		}
		time.Sleep(pollInterval + 10*latency)
		if got, _ := fleet.duty(leaf).digestStanding(crashing); got != dogwoodsuspect.Convicted {
			t.Errorf("got standing %v, want it convicted", got)
		}
		fleet.duty(0).Finished(t.Context(), subjectOf("finished"))
		time.Sleep(pollInterval + 10*latency)
		if got, _ := fleet.duty(leaf).digestStanding(crashing); got != dogwoodsuspect.Clear {
			t.Errorf("after it finished elsewhere: got standing %v, want it clear", got)
		}
	})
}

package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// start is the time at which the histories of these tests begin.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// after returns the time that lies the given seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var bounds = Bounds{
	Stability: 3 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second, TakeOut: 5 * time.Second,
	RetryRatio: 0.2, RetryAllowance: 3, RetryWindow: 10 * time.Second,
	ColdPerSecond: 2, ColdOvershoot: 1.5, ColdSlack: 1, LimitWindow: 4 * time.Second, LimitOvershoot: 1.5, LimitSlack: 5,
	Backoff: 5 * time.Second, BackoffDelay: 500 * time.Millisecond, BackoffLimit: 2,
	CrashesToLearn: 3, PartCrashesToLearn: 5, LateRetries: 3, AnswerSlack: time.Second,
	ChangeWindow: 2 * time.Second, TextSlack: time.Second,
	Grace: 6 * time.Second, AcceptsFor: 3 * time.Second, StopSlack: 200 * time.Millisecond, RefusalSlack: time.Second,
	Recovery: 12 * time.Second, ServedShare: 0.25,
	DeliverySlack: 2 * time.Second, DaemonMemory: 1000, DaemonDescriptors: 10, AnswerBuffer: 500,
	StarvationWindow: 5 * time.Second, StarvationCalls: 5, StarvationServed: 3, StarvationShare: 0.2,
}

// newCleanHistory returns a history that breaks no promise: one request of each kind a second, served at once.
func newCleanHistory() *History {
	history := &History{Calm: after(10)}
	for second := range 40 {
		for _, kind := range []CallKind{Once, Lookup, Prompt} {
			call := Call{
				ID: fmt.Sprintf("%s-%d", kind, second), Kind: kind, Service: "s", Key: "k", Daemon: "d",
				Sent: after(float64(second)), Written: after(float64(second) + 0.005), Ended: after(float64(second) + 0.1), Wait: 4 * time.Second,
				Status: 200, Whole: true, Sealed: true,
			}
			history.Calls = append(history.Calls, call)
			history.Arrivals = append(history.Arrivals, arrival(call.ID, float64(second)+0.01))
		}
	}
	return history
}

func arrival(id string, at float64) Arrival {
	return Arrival{Endpoint: "e", DataCentre: "a", Service: "s", RequestID: id, At: after(at), Ran: true}
}

func (history *History) call(id string) *Call {
	return &history.Calls[slices.IndexFunc(history.Calls, func(call Call) bool { return call.ID == id })]
}

func (history *History) arrival(id string) *Arrival {
	return &history.Arrivals[slices.IndexFunc(history.Arrivals, func(arrival Arrival) bool { return arrival.RequestID == id })]
}

func (history *History) fault(fault Fault, from, to float64) {
	fault.From, fault.To = after(from), after(to)
	history.Faults = append(history.Faults, fault)
}

// change adds a change that the store accepted, or the daemon received, a tenth of a second after it was sent.
func (history *History) change(daemon string, from float64) {
	history.Changes = append(history.Changes, Change{Daemon: daemon, From: after(from), To: after(from + 0.1)})
}

// crash makes the prompts of the first seconds crash their endpoints. The third one crashes it at 2 s, so that copies from 6 s on
// are late, and the fifth at 4 s, so that prompts with a part are from 8 s on.
func (history *History) crash(crashing Crashing, count int) {
	for second := range count {
		call := history.call(fmt.Sprintf("Prompt-%d", second))
		call.Crashing, call.Status, call.Sealed = crashing, 502, false
		history.Crashes = append(history.Crashes, Crash{Endpoint: "e", RequestID: call.ID, At: after(float64(second) + 0.05)})
	}
}

// backOff makes an endpoint ask for a back-off as it turns a request away, and leaves it only a number of requests in that time.
func (history *History) backOff(count int) {
	const id = "Lookup-5"
	asked := history.arrival(id)
	asked.AskedBackoff, asked.Ran = true, false
	call := history.call(id)
	call.Status, call.NotRun, call.Sealed = 503, true, false
	history.Arrivals = slices.DeleteFunc(history.Arrivals, func(arrival Arrival) bool {
		if !arrival.At.After(asked.At.Add(bounds.BackoffDelay)) || !arrival.At.Before(asked.At.Add(bounds.Backoff)) {
			return false
		}
		count--
		return count < 0
	})
}

// slowCall is the call that the tests of slow callers change.
const slowCall = "Lookup-20"

// readSlowly makes the caller of slowCall read a large answer slowly.
func (history *History) readSlowly(bytes int) {
	call := history.call(slowCall)
	call.Slow, call.LargeBytes = true, bytes
}

// write adds the end of the large answer to slowCall at its endpoint.
func (history *History) write(unread bool) {
	history.Written = append(history.Written, Written{Endpoint: "e", RequestID: slowCall, At: after(20.05), Unread: unread})
}

// refusePrompts makes the prompts of the seconds from 20 on those of the key "other", of which all but some of five are refused, and the
// lookups another key's prompts, which are served.
func (history *History) refusePrompts(served int) {
	for second := 20; second < 40; second++ {
		history.call(fmt.Sprintf("Lookup-%d", second)).Kind = Prompt
		call, arrival := history.call(fmt.Sprintf("Prompt-%d", second)), history.arrival(fmt.Sprintf("Prompt-%d", second))
		call.Key = "other"
		if (second-20)%5 >= served {
			call.Status, call.Sealed, call.NotRun, arrival.Ran = 503, false, true, false
		}
	}
}

// publish adds versions 2 and 3 of the text, which the store accepted at the times given, after version 1.
func (history *History) publish(second, third float64) {
	for i, accepted := range []float64{0, second, third} {
		history.Texts = append(history.Texts, Text{Version: int64(i + 1), From: after(accepted - 0.1), To: after(accepted)})
	}
}

// deny makes a daemon deny a lookup, whose route version 2 of the text has alone.
func (history *History) deny(second, third float64) {
	history.publish(second, third)
	const id = "Lookup-20"
	call := history.call(id)
	call.RouteOf, call.Status, call.Sealed = 2, 404, false
	history.Arrivals = slices.DeleteFunc(history.Arrivals, func(arrival Arrival) bool { return arrival.RequestID == id })
}

// stop shuts the daemon down between 18.8 and 24.5 s: the last sixth of its grace period begins at 23.8 s.
func (history *History) stop() {
	history.Stops = []Stop{{Daemon: "d", From: after(18.8), To: after(24.5)}}
	history.fault(Fault{Daemon: "d", Planned: true}, 18.8, 25)
}

// wait makes a request that no endpoint received end without an answer at a time.
func (history *History) wait(id string, until float64) {
	history.work(id, 0, until)
	history.Arrivals = slices.DeleteFunc(history.Arrivals, func(arrival Arrival) bool { return arrival.RequestID == id })
}

// work makes a request end without an answer at a time, after its endpoint worked on it until another one.
func (history *History) work(id string, worked, until float64) {
	history.cut(id)
	call := history.call(id)
	call.Ended, call.Wait = after(until), 10*time.Second
	history.arrival(id).Until = after(worked)
}

// cut makes a request end without an answer.
func (history *History) cut(id string) {
	call := history.call(id)
	call.Status, call.Whole, call.Sealed, call.Error = 0, false, false, "EOF"
}

// Each check reports a promise that was broken, and nothing for one that was kept or that the users' rules
// allow to be broken.
func TestChecks(t *testing.T) {
	tests := []struct {
		name   string
		modify func(history *History)
		want   string // the check that reports it; empty if it is allowed
	}{
		{"all kept", func(*History) {}, ""},
		{"a hold runs twice", func(history *History) {
			history.Arrivals = append(history.Arrivals, arrival("Once-5", 5.05))
		}, "TwiceRun"},
		{"a hold is refused and runs at another endpoint", func(history *History) {
			history.arrival("Once-5").Ran = false
			history.Arrivals = append(history.Arrivals, arrival("Once-5", 5.05))
		}, ""},
		{"a lookup runs twice", func(history *History) {
			history.Arrivals = append(history.Arrivals, arrival("Lookup-5", 5.05))
		}, ""},
		{"a hold ran and is reported as not run", func(history *History) {
			call := history.call("Once-5")
			call.Status, call.NotRun, call.Sealed = 503, true, false
		}, "FalseNotRun"},
		{"a hold runs after it was reported as not run", func(history *History) {
			call := history.call("Once-5")
			call.Status, call.NotRun, call.Sealed = 503, true, false
			history.arrival("Once-5").At = after(9)
		}, "FalseNotRun"},
		{"a hold that no endpoint ran is refused", func(history *History) {
			call := history.call("Once-5")
			call.Status, call.NotRun, call.Sealed = 503, true, false
			history.arrival("Once-5").Ran = false
		}, ""},
		{"an answer with bytes of another request", func(history *History) {
			history.call("Prompt-5").Wrong = "byte 7 is not its own"
		}, "WrongAnswer"},
		{"a success that came from no endpoint", func(history *History) {
			history.call("Prompt-5").Sealed = false
		}, "WrongAnswer"},
		{"a wrong answer that looks cut", func(history *History) {
			call := history.call("Prompt-5")
			call.Whole, call.Wrong = false, "too short"
			history.fault(Fault{Endpoint: "e"}, 5.05, 6)
		}, ""},
		{"a request that nobody sent", func(history *History) {
			history.Arrivals = append(history.Arrivals, arrival("nobody's", 5))
		}, "UnaskedRun"},
		{"a key is forwarded to an endpoint", func(history *History) { history.arrival("Lookup-5").KeySeen = true }, "KeyPassedOn"},
		{"a request sent with a withdrawn key after the bound runs", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(0.9), To: after(7)}}
			history.fault(Fault{Daemon: AllDaemons}, 0, 8)
		}, "WithdrawnKeyRan"},
		{"a request sent with a withdrawn key runs just after the key was restored", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(1.005), To: after(7.005)}}
		}, "WithdrawnKeyRan"},
		{"a request with a withdrawn key was delayed until the key was restored", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(1.005), To: after(7.005)}}
			history.fault(Fault{Daemon: "d"}, 6, 7.008)
		}, ""},
		{"a request sent with a withdrawn key runs just after the key was restored, during a fault of the store", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(1.005), To: after(7.005)}}
			history.fault(Fault{Daemon: AllDaemons}, 6, 7.008)
		}, "WithdrawnKeyRan"},
		{"a request with a withdrawn key was delayed and runs before the key is restored", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(1.005), To: after(7.05)}}
			history.fault(Fault{Daemon: "d"}, 6, 7.008)
		}, "WithdrawnKeyRan"},
		{"a request sent with a withdrawn key within the bound runs", func(history *History) {
			history.Withdrawals = []Withdrawal{{Key: "k", From: after(1.5), To: after(5.9)}}
		}, ""},
		{"a request reaches an endpoint that left", func(history *History) {
			history.Leavings = []Leaving{{Endpoint: "e", At: after(36.5)}}
		}, "SentAfterLeaving"},
		{"a fault keeps the daemon from learning that an endpoint left", func(history *History) {
			history.Leavings = []Leaving{{Endpoint: "e", At: after(36.5)}}
			history.fault(Fault{Daemon: "d"}, 30, 39)
		}, ""},
		{"a fault keeps another daemon from learning that an endpoint left", func(history *History) {
			history.Leavings = []Leaving{{Endpoint: "e", At: after(36.5)}}
			history.fault(Fault{Daemon: "other"}, 30, 39)
		}, "SentAfterLeaving"},
		{"a fault delays a request to an endpoint that left", func(history *History) {
			history.Leavings = []Leaving{{Endpoint: "e", At: after(36.5)}}
			history.fault(Fault{Endpoint: "e"}, 36, 39)
		}, ""},
		{"a request is denied although its route was added in time", func(history *History) { history.deny(17.9, 30) }, "OldText"},
		{"a request is denied whose route was added within the bound", func(history *History) { history.deny(18, 30) }, ""},
		{"a request is denied whose route may have been dropped again", func(history *History) { history.deny(10, 20.05) }, ""},
		{"a request is denied since its daemon could not read the text", func(history *History) {
			history.deny(17.9, 30)
			history.fault(Fault{Daemon: "d"}, 16, 17.5)
		}, ""},
		{"a request is denied by a daemon that is cut off from the endpoints", func(history *History) {
			history.deny(17.9, 30)
			history.fault(Fault{Daemon: "d", FromEndpoints: true}, 16, 25)
		}, "OldText"},
		{"a request is denied long after its daemon could not read the text", func(history *History) {
			history.deny(14, 30)
			history.fault(Fault{Daemon: "d"}, 13, 16.5)
		}, "OldText"},
		{"a request is denied although its key was restored in time", func(history *History) {
			history.deny(17.9, 30)
			history.call("Lookup-20").RouteOf = 0
			history.Texts[0].Withdrawn = []string{"k"}
		}, "OldText"},
		{"a request is denied since its key is withdrawn", func(history *History) {
			history.deny(10, 30)
			history.Texts[1].Withdrawn = []string{"k"}
		}, ""},
		{"a request runs by a route that was dropped", func(history *History) {
			history.publish(10, 17.9)
			history.call("Lookup-20").RouteOf = 2
		}, "OldText"},
		{"a request runs by a route that was dropped within the bound", func(history *History) {
			history.publish(10, 18)
			history.call("Lookup-20").RouteOf = 2
		}, ""},
		{"a request is denied that all texts allow", func(history *History) {
			history.deny(19, 30)
			history.call("Lookup-20").RouteOf = 0
			history.fault(Fault{Daemon: "d"}, 16, 20)
		}, "Denied"},
		{"a request reaches a data centre that was taken out", func(history *History) {
			history.TakeOuts = []TakeOut{{DataCentre: "a", From: after(20), To: after(26)}}
		}, "SentAfterTakeOut"},
		{"a request reaches another data centre", func(history *History) {
			history.TakeOuts = []TakeOut{{DataCentre: "b", From: after(20), To: after(26)}}
		}, ""},
		{"too many repeats", func(history *History) {
			for number := range 10 {
				history.Arrivals = append(history.Arrivals, arrival(fmt.Sprintf("Lookup-%d", number), 20))
			}
		}, "RetryBudget"},
		{"as many repeats as are allowed", func(history *History) {
			for number := range 9 {
				history.Arrivals = append(history.Arrivals, arrival(fmt.Sprintf("Lookup-%d", number), 20))
			}
		}, ""},
		{"too many requests at a cold endpoint", func(history *History) {
			for number := range 5 {
				arrival := history.arrival(fmt.Sprintf("Lookup-%d", number))
				arrival.Cold, arrival.At = true, after(20+float64(number)/10)
			}
		}, "ColdLimit"},
		{"as many requests at a cold endpoint as are allowed", func(history *History) {
			for number := range 4 {
				arrival := history.arrival(fmt.Sprintf("Lookup-%d", number))
				arrival.Cold, arrival.At = true, after(20+float64(number)/10)
			}
		}, ""},
		{"too many requests at an endpoint that names a limit", func(history *History) {
			history.Limits = []Limit{{Endpoint: "e", PerSecond: 1, From: after(0), To: after(10)}}
		}, "NamedLimit"},
		{"as many requests at an endpoint as its limit allows", func(history *History) {
			history.Limits = []Limit{{Endpoint: "e", PerSecond: 7.0 / 6, From: after(0), To: after(10)}}
		}, ""},
		{"an endpoint has just named its limit", func(history *History) {
			history.Limits = []Limit{{Endpoint: "e", PerSecond: 1, From: after(0), To: after(6)}}
		}, ""},
		{"requests at an endpoint that names a limit come from a daemon that was frozen", func(history *History) {
			history.Limits = []Limit{{Endpoint: "e", PerSecond: 1, From: after(0), To: after(10)}}
			history.fault(Fault{Daemon: "d"}, 0, 11)
		}, ""},
		{"too many requests at an endpoint that names a limit, during a fault of the store", func(history *History) {
			history.Limits = []Limit{{Endpoint: "e", PerSecond: 1, From: after(0), To: after(10)}}
			history.fault(Fault{Daemon: AllDaemons}, 0, 11)
		}, "NamedLimit"},
		{"an endpoint that asked for a back-off gets requests", func(history *History) { history.backOff(3) }, "SentInBackoff"},
		{"an endpoint that asked for a back-off gets as many requests as are allowed", func(history *History) { history.backOff(2) }, ""},
		{"an endpoint that asked another daemon for a back-off gets requests", func(history *History) {
			history.backOff(3)
			history.call("Lookup-5").Daemon = "other"
		}, ""},
		{"an endpoint that asked a daemon for a back-off gets requests after that was killed", func(history *History) {
			history.backOff(3)
			history.fault(Fault{Daemon: "d"}, 6, 6.1)
		}, ""},
		{"an endpoint gets requests after it said in an answer that it leaves", func(history *History) {
			history.arrival("Lookup-36").SaidLeaving = true
		}, "SentAfterAnswer"},
		{"an endpoint gets requests soon after it said in an answer that it leaves", func(history *History) {
			history.arrival("Lookup-37").SaidLeaving = true
		}, ""},
		{"an endpoint gets requests after it said that it leaves in an answer that was not passed on", func(history *History) {
			history.arrival("Lookup-36").SaidLeaving = true
			call := history.call("Lookup-36")
			call.Status, call.NotRun, call.Sealed = 504, false, false
		}, ""},
		{"an endpoint gets requests after it said that it leaves to a daemon that was killed since", func(history *History) {
			history.arrival("Lookup-36").SaidLeaving = true
			history.fault(Fault{Daemon: "d"}, 37, 37.1)
		}, ""},
		{"a request goes on crashing endpoints", func(history *History) { history.crash(Crashing{Target: "/crash"}, 10) }, "CrashRetries"},
		{"prompts with a part go on crashing endpoints", func(history *History) { history.crash(Crashing{Part: "bad2"}, 12) }, "CrashRetries"},
		{"prompts with a part crash endpoints until daemons must know", func(history *History) { history.crash(Crashing{Part: "bad2"}, 11) }, ""},
		{"a request reaches endpoints as often after the bound as is allowed", func(history *History) { history.crash(Crashing{Target: "/crash"}, 9) }, ""},
		{"a request goes on crashing endpoints through a daemon that was frozen", func(history *History) {
			history.crash(Crashing{Target: "/crash"}, 12)
			history.fault(Fault{Daemon: "d"}, 0, 40)
		}, ""},
		{"memory is never released", func(history *History) { history.Held = []Held{{Endpoint: "e", Tokens: 7}} }, "MemoryHeld"},
		{"a request ends too late", func(history *History) { history.call("Once-20").Ended = after(25.1) }, "AnsweredLate"},
		{"a request ends too late at a frozen daemon", func(history *History) {
			history.call("Once-20").Ended = after(25.1)
			history.fault(Fault{Daemon: "d"}, 21, 24)
		}, ""},
		{"a daemon takes more than its memory", func(history *History) {
			history.Memory = []Memory{{Daemon: "d", Bytes: 1001, At: after(7)}}
		}, "DaemonMemory"},
		{"a daemon takes all of its memory", func(history *History) { history.Memory = []Memory{{Daemon: "d", Bytes: 1000, At: after(7)}} }, ""},
		{"a daemon opens more descriptors than it has", func(history *History) {
			history.Descriptors = []Descriptors{{Daemon: "d", Open: 11, At: after(7)}}
		}, "DaemonDescriptors"},
		{"a daemon opens all of its descriptors", func(history *History) { history.Descriptors = []Descriptors{{Daemon: "d", Open: 10, At: after(7)}} }, ""},
		{"requests end an endpoint", func(history *History) {
			history.OutOfMemory = []OutOfMemory{{Endpoint: "e", At: after(20)}}
			history.fault(Fault{Endpoint: "e"}, 19.9, 21)
		}, "EndpointMemory"},
		{"requests that were delayed on the way end an endpoint", func(history *History) {
			history.OutOfMemory = []OutOfMemory{{Endpoint: "e", At: after(20)}}
			history.fault(Fault{Endpoint: "e"}, 17, 19)
		}, ""},
		{"requests that a daemon could not cancel, since it was cut off, end an endpoint", func(history *History) {
			history.OutOfMemory = []OutOfMemory{{Endpoint: "e", At: after(20)}}
			history.fault(Fault{Daemon: "d", FromEndpoints: true}, 12, 18)
		}, ""},
		{"a daemon does not read an answer", func(history *History) { history.write(true) }, "SlowAnswer"},
		{"a daemon that is frozen does not read an answer", func(history *History) {
			history.write(true)
			history.fault(Fault{Daemon: "d"}, 18, 20.1)
		}, ""},
		{"an answer that is not passed on by the way stays unread", func(history *History) {
			history.write(true)
			history.fault(Fault{Endpoint: "e"}, 18, 19)
		}, ""},
		{"a whole answer reaches a slow caller cut", func(history *History) {
			history.readSlowly(500)
			history.write(false)
			history.cut(slowCall)
		}, "SlowAnswer"},
		{"a whole answer that no daemon holds reaches a slow caller visibly cut", func(history *History) {
			history.readSlowly(501)
			history.write(false)
			history.cut(slowCall)
		}, ""},
		{"a large answer to a slow caller is cut and looks whole", func(history *History) {
			history.readSlowly(501)
			history.write(false)
			history.call(slowCall).Wrong = "too short"
		}, "WrongAnswer"},
		{"a small answer to a slow caller is cut before it is whole", func(history *History) {
			history.readSlowly(500)
			history.cut(slowCall)
		}, "CutWithoutCause"},
		{"a slow caller gets an answer until 2 s after its time limit", func(history *History) {
			history.readSlowly(500)
			history.call(slowCall).Ended = after(26.9)
		}, ""},
		{"a slow caller gets an answer for longer", func(history *History) {
			history.readSlowly(500)
			history.call(slowCall).Ended = after(27.1)
		}, "AnsweredLate"},
		{"a slow caller sees the end of its answer after a pause", func(history *History) {
			history.readSlowly(500)
			call := history.call(slowCall)
			call.Ended, call.Paused = after(27.1), time.Second
		}, ""},
		{"a customer gets nothing", func(history *History) { history.refusePrompts(0) }, "Starved"},
		{"a customer gets the minimum", func(history *History) { history.refusePrompts(1) }, ""},
		{"a customer gets nothing while something is wrong", func(history *History) {
			history.refusePrompts(0)
			history.Wrong = []Span{{From: after(15), To: after(40)}}
		}, ""},
		{"a customer gets nothing during faults", func(history *History) {
			history.refusePrompts(0)
			history.fault(Fault{Endpoint: "other"}, 15, 40)
		}, ""},
		{"a rank gets nothing, of which each customer sends little", func(history *History) {
			history.refusePrompts(0)
			history.Ranks = []Ranks{{Span: Span{From: after(19), To: after(40)}, OfKey: map[string]int{"other": 1, "another": 1, "k": 0}}}
			for second := 21; second < 40; second += 2 {
				history.call(fmt.Sprintf("Prompt-%d", second)).Key = "another"
			}
		}, "Starved"},
		{"customers that send little get nothing", func(history *History) {
			history.refusePrompts(0)
			for second := 21; second < 40; second += 2 {
				history.call(fmt.Sprintf("Prompt-%d", second)).Key = "another"
			}
		}, ""},
		{"a shutdown cuts a request", func(history *History) {
			history.Stops = []Stop{{Daemon: "d", From: after(20.05), To: after(24)}}
			history.fault(Fault{Daemon: "d", Planned: true}, 20.05, 25)
			history.cut("Once-20")
		}, "CutByStop"},
		{"a shutdown coincides with an endpoint's crash", func(history *History) {
			history.Stops = []Stop{{Daemon: "d", From: after(20.05), To: after(24)}}
			history.fault(Fault{Daemon: "d", Planned: true}, 20.05, 25)
			history.fault(Fault{Endpoint: "e"}, 20.06, 21)
			history.cut("Once-20")
		}, ""},
		{"a shutdown cuts a request that was sent long after the signal", func(history *History) {
			history.Stops = []Stop{{Daemon: "d", From: after(17.5), To: after(24)}}
			history.fault(Fault{Daemon: "d", Planned: true}, 17.5, 25)
			history.cut("Once-20")
		}, "CutByStop"},
		{"a request that no endpoint received crosses the end of its connection", func(history *History) {
			history.stop()
			history.wait("Once-20", 20.1)
		}, ""},
		{"a request was not sent as a whole", func(history *History) {
			history.stop()
			history.cut("Once-20")
			history.call("Once-20").Written = time.Time{}
		}, ""},
		{"a request waits at a daemon that ends", func(history *History) {
			history.stop()
			history.wait("Once-20", 24)
		}, "CutByStop"},
		{"a request that its endpoint rejected waits at a daemon that ends", func(history *History) {
			history.stop()
			history.work("Once-20", 0, 24)
			history.arrival("Once-20").Ran = false
		}, "CutByStop"},
		{"a request waits at a daemon that ends, during a fault of the store", func(history *History) {
			history.stop()
			history.wait("Once-20", 24)
			history.fault(Fault{Daemon: AllDaemons}, 16, 18)
		}, ""},
		{"a request waits at a daemon that ends until its time limit", func(history *History) {
			history.stop()
			history.wait("Lookup-20", 24)
			history.call("Lookup-20").Wait = 4 * time.Second
		}, ""},
		{"a daemon that ends cuts a request on which an endpoint is at work late in the grace period", func(history *History) {
			history.stop()
			history.work("Prompt-20", 24, 24)
		}, ""},
		{"a daemon that ends cuts a request on which an endpoint is at work too early", func(history *History) {
			history.stop()
			history.work("Prompt-20", 22, 22)
		}, "CutByStop"},
		{"a daemon that ends cuts a request whose endpoint had done its work", func(history *History) {
			history.stop()
			history.work("Prompt-20", 23, 24)
		}, "CutByStop"},
		{"a daemon that ends cuts a request that was sent late and on which an endpoint is at work", func(history *History) {
			history.stop()
			history.work("Prompt-22", 24, 24)
		}, "CutByStop"},
		{"a request waits for another endpoint since its own one broke off, and is cut without an answer", func(history *History) {
			history.stop()
			history.work("Once-20", 21, 24)
			history.fault(Fault{Endpoint: "e"}, 21, 22)
		}, "CutByStop"},
		{"an endpoint breaks a stream off at a daemon that ends", func(history *History) {
			history.stop()
			history.work("Prompt-20", 21, 24)
			history.call("Prompt-20").Status = 200
			history.fault(Fault{Endpoint: "e"}, 21, 22)
		}, ""},
		{"a request is cut at its second endpoint, since whose first one broke off", func(history *History) {
			history.stop()
			history.work("Prompt-20", 20.05, 22)
			second := arrival("Prompt-20", 20.5)
			second.Endpoint, second.Until = "other", after(22)
			history.Arrivals = append(history.Arrivals, second)
			history.fault(Fault{Endpoint: "e"}, 20.05, 23)
		}, "CutByStop"},
		{"a change cuts a request", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.cut("Prompt-20")
		}, "CutByChange"},
		{"a change cuts a request that was sent within the bound", func(history *History) {
			history.change(AllDaemons, 17)
			history.cut("Once-20")
		}, "CutByChange"},
		{"a change cuts a stream that had begun", func(history *History) {
			history.change(AllDaemons, 20.05)
			call := history.call("Prompt-20")
			call.Whole, call.Error = false, "unexpected EOF"
		}, "CutByChange"},
		{"a change coincides with a refusal", func(history *History) {
			history.change(AllDaemons, 20.05)
			call := history.call("Prompt-20")
			call.Status, call.NotRun, call.Sealed = 503, true, false
		}, ""},
		{"a change coincides with a time limit", func(history *History) {
			history.change(AllDaemons, 21)
			history.cut("Once-20")
			history.call("Once-20").Ended = after(24)
		}, ""},
		{"a change coincides with an endpoint's crash", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.fault(Fault{Endpoint: "e"}, 20.06, 21)
			history.cut("Once-20")
		}, ""},
		{"a change coincides with the crash of an endpoint that the request did not reach", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.fault(Fault{Endpoint: "other"}, 20.06, 21)
			history.cut("Once-20")
		}, "CutByChange"},
		{"a change coincides with a daemon's fault", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.fault(Fault{Daemon: "d"}, 16, 18)
			history.cut("Once-20")
		}, ""},
		{"a change coincides with another daemon's fault", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.fault(Fault{Daemon: "other"}, 16, 18)
			history.cut("Once-20")
		}, "CutByChange"},
		{"a change coincides with a fault of the store", func(history *History) {
			history.change(AllDaemons, 20.05)
			history.fault(Fault{Daemon: AllDaemons}, 19, 21)
			history.cut("Once-20")
		}, ""},
		{"a change coincides with a daemon's shutdown", func(history *History) {
			history.change(AllDaemons, 17.5)
			history.Stops = []Stop{{Daemon: "d", From: after(17.5), To: after(24)}}
			history.fault(Fault{Daemon: "d", Planned: true}, 17.5, 25)
			history.cut("Once-20")
		}, "CutByStop"},
		{"changed settings cut a request", func(history *History) {
			history.change("d", 20.05)
			history.cut("Once-20")
		}, "CutByChange"},
		{"a request is cut after the bound of changed settings", func(history *History) {
			history.change("d", 17.5)
			history.cut("Once-20")
		}, "CutWithoutCause"},
		{"a request is cut while another daemon's settings change", func(history *History) {
			history.change("other", 20.05)
			history.cut("Once-20")
		}, "CutWithoutCause"},
		{"a request is cut before a change", func(history *History) {
			history.change(AllDaemons, 20.2)
			history.cut("Once-20")
		}, "CutWithoutCause"},
		{"a request is cut without a cause", func(history *History) { history.cut("Once-20") }, "CutWithoutCause"},
		{"a request is cut after a daemon's fault", func(history *History) {
			history.fault(Fault{Daemon: "d"}, 16, 18)
			history.cut("Once-20")
		}, ""},
		{"a shutdown takes too long", func(history *History) {
			history.Stops = []Stop{{Daemon: "d", From: after(20), Killed: true}}
		}, "StopTooLong"},
		{"nothing is served after the last fault", func(history *History) {
			for i := range history.Calls {
				if call := &history.Calls[i]; call.Sent.After(after(15)) {
					call.Status, call.Sealed = 504, false
				}
			}
		}, "NotRecovered"},
		{"no request is sent after the last fault", func(history *History) { history.Calm = after(50) }, "NotRecovered"},
		{"a daemon died", func(history *History) { history.Deaths = []Death{{Process: "d", Error: "exit status 2"}} }, "ProcessDied"},
	}
	found := map[string]bool{}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := newCleanHistory()
			test.modify(history)
			findings := Check(history, bounds)
			if test.want == "" && len(findings) > 0 {
				t.Errorf("got %+v, want nothing", findings[0])
			}
			if test.want != "" && (len(findings) == 0 || slices.ContainsFunc(findings, func(finding Finding) bool { return finding.Check != test.want })) {
				t.Errorf("got %+v, want %s alone", findings, test.want)
			}
			found[test.want] = true
		})
	}
	for _, name := range Names() {
		if !found[name] {
			t.Errorf("no history shows that %s finds anything", name)
		}
	}
}

// Each request is counted under exactly one outcome.
func TestSummarise(t *testing.T) {
	history := newCleanHistory()
	history.cut("Once-1")
	refused := history.call("Once-2")
	refused.Status, refused.NotRun, refused.Sealed = 503, true, false
	failed := history.call("Once-3")
	failed.Status, failed.Sealed = 504, false
	got := Summarise(history)
	want := Summary{Sent: 120, Served: 117, RefusedNotRun: 1, Failed: 1, Broken: 1, Runs: 120, LongestEnd: -3900 * time.Millisecond}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

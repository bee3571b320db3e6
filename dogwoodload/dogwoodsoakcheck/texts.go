package dogwoodsoakcheck

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// denied reports whether a daemon itself, and no endpoint, answered that a call is not allowed.
func (call *Call) denied() bool {
	return !call.Sealed && slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, call.Status)
}

// oldText finds requests, sent later than ChangeWindow after the store had accepted a text, that a daemon denied although that text
// and all later ones allow them, or that ran although none of these has their route. Whether a withdrawn key ran is judged by
// withdrawnKeyRan.
func oldText(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		if !call.denied() && len(analysis.runs[call.ID]) == 0 || !analysis.couldReadText(call) {
			return ""
		}
		texts := analysis.textsInForce(call)
		if len(texts) == 0 {
			return ""
		}
		age := call.Sent.Sub(texts[0].To).Round(time.Millisecond)
		switch {
		case call.denied() && !slices.ContainsFunc(texts, func(text Text) bool { return !text.allows(call) }):
			return fmt.Sprintf("%s answered status %d although version %d, which was accepted %s before it was sent, allows it", call.Daemon, call.Status, texts[0].Version, age)
		case !call.denied() && !slices.ContainsFunc(texts, func(text Text) bool { return text.hasRoute(call) }):
			return fmt.Sprintf("ran by the route of version %d although version %d was accepted %s before it was sent", call.RouteOf, texts[0].Version, age)
		}
		return ""
	})
}

// couldReadText reports whether no fault kept a request's daemon from reading the text shortly before or during the request.
func (analysis *analysis) couldReadText(call *Call) bool {
	return analysis.noFault(call.Sent.Add(-analysis.bounds.Stability), call.Ended, func(fault *Fault) bool {
		return !fault.FromEndpoints && (fault.Daemon == call.Daemon || fault.Daemon == AllDaemons)
	})
}

// textsInForce returns the texts by which a request may have been judged, in order of their versions: the latest one that was
// accepted ChangeWindow before the request was sent, and all later ones. It returns none if none was.
func (analysis *analysis) textsInForce(call *Call) []Text {
	latest := -1
	for i := range analysis.Texts {
		if analysis.Texts[i].To.Add(analysis.bounds.ChangeWindow).Before(call.Sent) {
			latest = i
		}
	}
	if latest < 0 {
		return nil
	}
	texts := slices.Clone(analysis.Texts[latest:])
	return slices.DeleteFunc(texts, func(text Text) bool { return text.From.After(call.Ended) })
}

// denied finds requests that a daemon denied although all texts allow them. This applies during faults, too: a daemon that knows no
// text yet must not deny anything.
func denied(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		if !call.denied() || len(analysis.Texts) == 0 || slices.ContainsFunc(analysis.Texts, func(text Text) bool { return !text.allows(call) }) {
			return ""
		}
		return fmt.Sprintf("%s answered status %d although all texts allow it", call.Daemon, call.Status)
	})
}

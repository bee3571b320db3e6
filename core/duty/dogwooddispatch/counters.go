package dogwooddispatch

import "expvar"

// counters are published under "Dispatch": Retries, ClaimsRefused, AnswersStored,
// AnswersNotStored, OwnersUnreachable, Fallbacks, Hedges, GrantsLost, Orphans.
var counters = expvar.NewMap("Dispatch")

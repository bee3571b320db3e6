package dogwoodreach

import "expvar"

// counters counts the times at which this daemon was cut off.
var counters = expvar.NewMap("Reach")

// Package dogwoodinterleave holds the tests that run the state machines of several daemons
// against one faulty store, in random interleavings in synctest bubbles, and check the
// histories: all daemons agree on the sequence of changes and never return to an earlier
// version, a call runs at most once, and no holder issues an order after its lease expired.
//
// The tests log the seeds that fail. DOGWOOD_SEED runs a single seed; DOGWOOD_SEEDS sets the
// number of seeds.
package dogwoodinterleave

// Command standins-2 runs a case of the review: it starts the stand-ins and the daemons, brings about the disruption and checks the rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(site *site) (bool, error){
	"crowded":     crowded,
	"last-key":    lastKey,
	"turned-away": turnedAway,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		return failed
	}
	site, err := newSite(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer site.close()
	kept, err := cases[os.Args[1]](site)
	switch {
	case err != nil:
		site.say("the case could not run: %v", err)
		return failed
	case !kept:
		return broken
	}
	return held
}

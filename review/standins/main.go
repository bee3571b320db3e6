// Package main runs a case of the review: stand-ins of the platform, of servers and of requesters in this process, and the machines'
// programs in processes of their own. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	held, broken, cannotRun = 0, 1, 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(record *record, program string, trouble bool) (bool, error){
	"revoked-key":  revokedKey,
	"changed-path": changedPath,
	"flood":        flood,
	"budget":       changedBudget,
	"joined":       joined,
	"silent":       silent,
}

func main() {
	const argumentCount = 4
	if len(os.Args) != argumentCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give the name of a case, its folder and the program of the machines")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder, program string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record := &record{started: time.Now(), file: file}
	defer func() { _ = file.Close() }() // the record was written without a buffer
	record.log("case %s, trouble: %t", name, trouble)
	kept, err := cases[name](record, program, trouble)
	switch {
	case err != nil:
		record.log("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return cannotRun
	case !kept:
		record.log("result: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	record.log("result: the rule held")
	fmt.Println("the rule held")
	return held
}

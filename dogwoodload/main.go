// Command dogwoodload sends seeded or recorded traces to a system of daemons, injects faults while
// the requests run, and evaluates the outcomes from what callers received and what endpoints ran.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodroot"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return dogwoodroot.Run(ctx, dogwoodfactory.New(), os.Args[1:])
}

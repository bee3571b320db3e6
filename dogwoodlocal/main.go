// Command dogwoodlocal starts a complete deployment in one process on the loopback address, for
// trying it out: daemons, and stand-ins for the engines, the plain service and the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodmux.example/dogwoodlocal/dogwoodroot"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return dogwoodroot.Run(ctx, dogwoodroot.New(), os.Args[1:])
}

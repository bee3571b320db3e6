// Command dogwoodctl is the operators' command line tool. It shows and changes the operators'
// text, takes data centres and VMs out of service, brings them back and shows the state of the
// daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
	"dogwoodmux.example/dogwoodctl/dogwoodroot"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return dogwoodroot.Run(ctx, dogwoodfactory.New(), os.Args[1:])
}

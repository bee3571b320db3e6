// Command dogwoodmuxd runs the daemon. Each entry VM runs one; all daemons are peers.
package main

import (
	"os"

	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
	"dogwoodmux.example/dogwoodmuxd/dogwoodroot"
)

func main() {
	os.Exit(run())
}

func run() int {
	factory, stop := dogwoodfactory.New()
	defer stop()
	return dogwoodroot.Run(factory, os.Args[1:])
}

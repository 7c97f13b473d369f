// Command tamarindstepd is the router daemon.
package main

import (
	"os"

	"github.com/tamarindstep/tamarindstep/daemon"
)

func main() {
	os.Exit(daemon.Main())
}

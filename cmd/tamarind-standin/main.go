// Command tamarind-standin runs the stand-ins for tests and the demo.
package main

import (
	"os"

	"github.com/tamarindstep/tamarindstep/internal/standincmd"
)

func main() {
	os.Exit(standincmd.Main())
}

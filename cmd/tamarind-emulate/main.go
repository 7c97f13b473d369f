// Command tamarind-emulate compares routing policies on emulated engines.
package main

import (
	"os"

	"github.com/tamarindstep/tamarindstep/emulator"
)

func main() {
	os.Exit(emulator.Main())
}

// Command tamarindctl is the operators' command line tool.
package main

import (
	"os"

	"github.com/tamarindstep/tamarindstep/ctl"
)

func main() {
	os.Exit(ctl.Main())
}

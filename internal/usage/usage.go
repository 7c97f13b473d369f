// Package usage reports the resource usage of this process.
package usage

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the processor time used by the process since its start, in user and system mode.
func ProcessorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

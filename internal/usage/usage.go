// Package usage reads what this process has used of the machine.
package usage

import (
	"time"

	"golang.org/x/sys/unix"
)

// Processor returns the processor time that the process has used since its start, in its own code and in the system's.
func Processor() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

//go:build cgo

package hangup

/*
#include <signal.h>

// The Go runtime leaves SIGHUP ignored if it is when the runtime starts.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

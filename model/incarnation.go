package model

import "strconv"

// Incarnation is one process of a backend server: its identifier, which may stay the same over a restart, and its start
// time.
//
// Two incarnations are distinguished by Born, but not ordered by it, as clocks jump: the newer one is that in the
// newer catalog.
type Incarnation struct {
	Name string
	Born uint64 // start time by its own clock, in Unix ms; 0 if not reported, then each process has another name
}

// Backend returns the identity under which the state of the incarnation is stored, unless the key of another has the same
// hash.
func (i Incarnation) Backend() BackendID { return Backend(i.Key()) }

// Key returns the text that distinguishes the incarnation from all others.
func (i Incarnation) Key() string {
	if i.Born == 0 {
		return i.Name
	}
	return i.Name + "\x00" + strconv.FormatUint(i.Born, 10)
}

// IsRestartOf reports whether this is another incarnation of the same backend server.
func (i Incarnation) IsRestartOf(before Incarnation) bool {
	return i.Name == before.Name && i.Born != before.Born
}

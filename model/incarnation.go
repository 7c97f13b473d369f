package model

import "strconv"

// Incarnation is one run of a backend server: its identifier, which it may keep as it starts again, and when it started.
//
// Two runs are told apart by Born, and never put in order by it, as clocks jump: the newer one is that of the
// newer catalog.
type Incarnation struct {
	Name string
	Born uint64 // by its own clock, in Unix ms; 0 where it doesn't say, and no two runs have the same name
}

// Backend returns the identity by which all that is known of the run is kept.
func (i Incarnation) Backend() BackendID {
	if i.Born == 0 {
		return Backend(i.Name)
	}
	return Backend(i.Name + "\x00" + strconv.FormatUint(i.Born, 10))
}

// Follows tells whether this is another run of the same backend server.
func (i Incarnation) Follows(before Incarnation) bool {
	return i.Name == before.Name && i.Born != before.Born
}

package model

import "fmt"

// Version is a moment in the life of a store: its era, which rises each time it comes back from a copy, and its
// revision, which rises with each change in an era and goes back with the next. Versions are ordered as numbers are: all of an era are
// above all of the eras before. So whatever keeps the highest, or tells it to others, needs to know nothing of eras; and
// in the first era a version is the revision, as builds know it that know no eras.
type Version uint64

const (
	// revisionBits is how many bits of a version are the revision's: at 100,000 changes a second they last four months, and
	// at the 400 that are aimed for, 87 years.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the highest era.
	MaxEra = 1<<(63-revisionBits) - 1
)

// VersionOf returns the version of a revision in an era. What is above the highest of either is taken for that.
func VersionOf(era uint32, revision int64) Version {
	return Version(min(uint64(era), MaxEra)<<revisionBits | uint64(min(max(revision, 0), maxRevision)))
}

// Era returns the era.
func (v Version) Era() uint32 { return uint32(v >> revisionBits) }

// Revision returns the revision in its era.
func (v Version) Revision() int64 { return int64(v & maxRevision) }

// String returns the form that logs and operators use: the revision alone in the first era.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d in era %d", v.Revision(), v.Era())
}

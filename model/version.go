package model

import "fmt"

// Version is a version of the store's contents: its era, which increases each time the store is restored from a copy,
// and its revision, which increases with each change in an era and may decrease with the next era. Versions are ordered as
// numbers: all of an era are above all of earlier eras. So code that stores or sends the highest version need not
// handle eras; in the first era a version equals the revision, as in builds without eras.
type Version uint64

const (
	// revisionBits is the number of bits of the revision: they last four months at 100,000 changes a second, and 87 years
	// at the target of 400.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the highest era.
	MaxEra = 1<<(63-revisionBits) - 1
)

// VersionOf returns the version of a revision in an era. Values out of range are clamped.
func VersionOf(era uint32, revision int64) Version {
	return Version(min(uint64(era), MaxEra)<<revisionBits | uint64(min(max(revision, 0), maxRevision)))
}

// Era returns the era.
func (v Version) Era() uint32 { return uint32(v >> revisionBits) }

// Revision returns the revision within the era.
func (v Version) Revision() int64 { return int64(v & maxRevision) }

// String returns the form that logs and operators use: the revision alone in the first era.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d in era %d", v.Revision(), v.Era())
}

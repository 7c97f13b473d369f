package model

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestVersionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	is.Equal(uint64(VersionOf(0, 57)), uint64(57)) // as in builds without eras
	is.True(VersionOf(1, 0) > VersionOf(0, math.MaxInt64))
	is.True(VersionOf(1, 3) > VersionOf(1, 2))
	is.True(VersionOf(2, 1) > VersionOf(1, 999))
	is.True(VersionOf(math.MaxUint32, math.MaxInt64) <= math.MaxInt64) // values in the store have it as an int64
	v := VersionOf(3, 41)
	is.Equal(v.Era(), uint32(3))
	is.Equal(v.Revision(), int64(41))
	is.Equal(VersionOf(1, -5), VersionOf(1, 0))
	is.Equal(v.String(), "41 in era 3")
	is.Equal(VersionOf(0, 41).String(), "41")
}

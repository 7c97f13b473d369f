package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProcessorTimeGrowsWithWork(t *testing.T) {
	is := is.New(t)
	before, err := Processor()
	is.NoErr(err)
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	after, err := Processor()
	is.NoErr(err)
	is.True(after > before)
}

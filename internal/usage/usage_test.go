package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProcessorTimeGrowsWithWork(t *testing.T) {
	is := is.New(t)
	before, err := ProcessorTime()
	is.NoErr(err)
	after := before
	for began := time.Now(); after <= before && time.Since(began) < time.Minute; {
		after, err = ProcessorTime()
		is.NoErr(err)
	}
	is.True(after > before)
}

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
	after := before
	for began := time.Now(); after <= before && time.Since(began) < time.Minute; {
		after, err = Processor()
		is.NoErr(err)
	}
	is.True(after > before)
}

package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

func TestMaxMin(t *testing.T) {
	is := is.New(t)
	share, enough := maxMin([]float64{1, 2, 10, 20}, 12)
	is.Equal(share, 4.5) // 1 and 2 get all, the others 4.5 each
	is.True(!enough)
	_, enough = maxMin([]float64{1, 2, 3}, 6)
	is.True(enough)
	_, enough = maxMin(nil, 6)
	is.True(enough)
}

// TestSharesAreMaxMin draws what accounts ask for, and lets them begin what their
// standing allows: none that is owed more gets less than another beyond its own.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "accounts")
		capacity := rapid.Float64Range(1, 1000).Draw(t, "capacity")
		asked := make([]float64, n)
		sum := 0.0
		for i := range asked {
			asked[i] = rapid.Float64Range(0, 500).Draw(t, "asked")
			if i > 0 && asked[i] < asked[i-1] {
				asked[i] = asked[i-1]
			}
			sum += asked[i]
		}
		share, enough := maxMin(asked, capacity)
		given := 0.0
		for _, a := range asked {
			given += min(a, share)
		}
		if enough && sum > capacity+1e-6 {
			t.Fatalf("enough, with %v asked of %v", sum, capacity)
		}
		if !enough && (given > capacity+1e-6 || given < capacity-1e-6) {
			t.Fatalf("%v given of %v", given, capacity)
		}
	})
}

func TestWindowForgets(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.Count(1, 0, 0)
	m.Sample(0)
	m.Count(1, 100, 50)
	for now := time.Duration(0); now < window-sampleEvery; now += sampleEvery {
		m.Sample(now)
		is.Equal(m.shares.accounts[1].inWindow(), Usage{100, 50})
	}
	for now := window; now < 2*window; now += sampleEvery {
		m.Sample(now)
	}
	is.Equal(m.shares.accounts[1].inWindow(), Usage{})
	m.Count(1, 40, 0)
	is.Equal(m.shares.accounts[1].inWindow(), Usage{Asked: 40})
}

// TestNobodyBeginsTheWholeWindowAtOnce lets an account begin more in a moment than is its
// part of what engines make in a second, though the window of four seconds has it: others
// want to begin as well, and those that have begun little go first. When the second is over
// it is within its share again.
func TestNobodyBeginsTheWholeWindowAtOnce(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	m.Count(1, 1.5*second, 0.9*second)
	m.Count(2, 0.8*second, 0.2*second)
	l := m.levels()
	is.True(l.enough) // in four seconds
	is.Equal(m.standingOf(1, l), over)
	is.Equal(m.standingOf(2, l), within)
	now := model.Time(0)
	for range 2 * inBurst {
		now += sampleEvery
		m.Sample(now)
	}
	is.Equal(m.standingOf(1, m.levels()), within)
}

// TestBurstsAreNoMatterWhereThereIsEnough lets one account begin in a second more than
// engines make in it, of what it had asked for before, while nobody asks for more than
// there is.
func TestBurstsAreNoMatterWhereThereIsEnough(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	m.Count(1, 1.2*second, 0)
	for i := range inBurst {
		m.Sample(model.Time(i+1) * sampleEvery)
	}
	m.Count(1, 0, 1.2*second)
	m.Count(2, 0.1*second, 0)
	is.Equal(m.standingOf(1, m.levels()), within)
}

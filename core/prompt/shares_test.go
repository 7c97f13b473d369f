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
	is.Equal(share, 4.5) // 1 and 2 get everything, the others 4.5 each
	is.True(!enough)
	_, enough = maxMin([]float64{1, 2, 3}, 6)
	is.True(enough)
	_, enough = maxMin(nil, 6)
	is.True(enough)
}

// TestSharesAreMaxMin generates requested amounts and lets accounts use their share: the total must equal the
// capacity unless that suffices for all.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "accounts")
		capacity := rapid.Float64Range(1, 1000).Draw(t, "capacity")
		requested := make([]float64, n)
		sum := 0.0
		for i := range requested {
			requested[i] = rapid.Float64Range(0, 500).Draw(t, "asked")
			if i > 0 && requested[i] < requested[i-1] {
				requested[i] = requested[i-1]
			}
			sum += requested[i]
		}
		share, enough := maxMin(requested, capacity)
		used := 0.0
		for _, a := range requested {
			used += min(a, share)
		}
		if enough && sum > capacity+1e-6 {
			t.Fatalf("sufficient with %v requested and a capacity of %v", sum, capacity)
		}
		if !enough && (used > capacity+1e-6 || used < capacity-1e-6) {
			t.Fatalf("%v used of a capacity of %v", used, capacity)
		}
	})
}

func TestWindowExpiresUsage(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.AddUsage(1, 0, 0)
	m.Sample(0)
	m.AddUsage(1, 100, 50)
	for now := time.Duration(0); now < window-sampleInterval; now += sampleInterval {
		m.Sample(now)
		is.Equal(m.shares.accounts[1].inWindow(), Usage{100, 50})
	}
	for now := window; now < 2*window; now += sampleInterval {
		m.Sample(now)
	}
	is.Equal(m.shares.accounts[1].inWindow(), Usage{})
	m.AddUsage(1, 40, 0)
	is.Equal(m.shares.accounts[1].inWindow(), Usage{Requested: 40})
}

// TestBurstLimitsWindowShare has an account start more at once than its share of a second's capacity, though the
// window of four seconds would allow it: other accounts with little started go first. After that second it is within
// its share again.
func TestBurstLimitsWindowShare(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	m.AddUsage(1, 1.5*second, 0.9*second)
	m.AddUsage(2, 0.8*second, 0.2*second)
	l := m.levels()
	is.True(l.sufficient) // in four seconds
	is.Equal(m.shareStatusOf(1, l), statusOver)
	is.Equal(m.shareStatusOf(2, l), statusWithin)
	now := model.Time(0)
	for range 2 * burstSamples {
		now += sampleInterval
		m.Sample(now)
	}
	is.Equal(m.shareStatusOf(1, m.levels()), statusWithin)
}

// TestBurstAllowedWithSufficientCapacity has one account start more in a second than the engines' capacity, from
// earlier demand, while total demand does not exceed the capacity.
func TestBurstAllowedWithSufficientCapacity(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	m.AddUsage(1, 1.2*second, 0)
	for i := range burstSamples {
		m.Sample(model.Time(i+1) * sampleInterval)
	}
	m.AddUsage(1, 0, 1.2*second)
	m.AddUsage(2, 0.1*second, 0)
	is.Equal(m.shareStatusOf(1, m.levels()), statusWithin)
}

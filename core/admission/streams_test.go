package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// objective is that of the streams in these tests, which allows a scheduling delay of 16 ms.
const objective = 512 * time.Millisecond

// smallProcessor is the router's share of a core in these tests. The minimum limit is four streams.
const smallProcessor = 0.04

// admitStream requests a stream at the given scheduling delay, and reports its decision at once.
func admitStream(g *Gate, now model.Time, account model.AccountID, delay time.Duration) (Ticket, Reason) {
	v, ticket := g.Admit(now, Request{
		Account: account, Route: route, DecisionBudget: within, Stream: true, Objective: objective, SchedulingDelay: delay,
	})
	if v.Reason == Admitted {
		g.Decided(now, ticket, Decision{})
	}
	return ticket, v.Reason
}

func TestNoStreamLimitWithoutDelay(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallProcessor)
	for n := range 1000 {
		_, reason := admitStream(g, model.Time(n)*time.Millisecond, hot, 16*time.Millisecond)
		is.Equal(reason, Admitted)
	}
}

// TestDelayLimitsStreams causes too long a delay with a hundred active streams. No stream may begin until some have
// ended, and the limit must be removed after two seconds without delay and with fewer streams than the limit.
func TestDelayLimitsStreams(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallProcessor)
	var active []Ticket
	for range 100 {
		ticket, _ := admitStream(g, time.Second, hot, 0)
		active = append(active, ticket)
	}
	_, reason := admitStream(g, 2*time.Second, hot, 17*time.Millisecond)
	is.Equal(reason, StreamLimitReached)
	for _, ticket := range active[:40] {
		g.Ended(ticket)
	}
	_, reason = admitStream(g, 2*time.Second, hot, 0)
	is.Equal(reason, Admitted)
	_, reason = admitStream(g, 4100*time.Millisecond, hot, 0)
	is.Equal(reason, Admitted)
	_, limit := g.Streams()
	is.True(math.IsInf(limit, 1))
}

// TestStreamLimitIsSharedByAccounts lets one account use all streams of a router at its limit. Another account must be
// admitted up to half of the limit.
func TestStreamLimitIsSharedByAccounts(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallProcessor)
	for range 40 {
		admitStream(g, time.Second, hot, 0)
	}
	_, reason := admitStream(g, 2*time.Second, hot, time.Second)
	is.Equal(reason, StreamLimitReached)
	admitted := 0
	for range 40 {
		if _, reason := admitStream(g, 2*time.Second, quiet, time.Second); reason == Admitted {
			admitted++
		}
	}
	is.Equal(admitted, 18) // half of nine tenths of forty
}

// TestStreamLimitIgnoresOtherRequests checks that requests whose responses aren't passed on in parts are admitted at
// any number of streams.
func TestStreamLimitIgnoresOtherRequests(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallProcessor)
	admitStream(g, time.Second, hot, 0)
	_, reason := admitStream(g, 2*time.Second, hot, time.Second)
	is.Equal(reason, Admitted) // the minimum limit is four
	for range 10 {
		admitStream(g, 2*time.Second, hot, time.Second)
	}
	v, _ := admit(g, 2*time.Second, hot)
	is.Equal(v.Reason, Admitted)
}

// TestStreamLimitMatchesCapacity generates the number of streams that the processor can carry and their duration; the
// delay is proportional to the number of active streams. From three seconds on the mean number of streams must be at
// least half of the capacity, and at most a quarter above it.
func TestStreamLimitMatchesCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		capacity := rapid.IntRange(20, 300).Draw(t, "enough")
		duration := time.Duration(rapid.IntRange(200, 3000).Draw(t, "lasts, ms")) * time.Millisecond
		g := NewGate(smallProcessor)
		type running struct {
			ticket Ticket
			until  model.Time
		}
		var streams []running
		sum, samples := 0, 0
		for now := time.Second; now < 12*time.Second; now += time.Millisecond {
			for len(streams) > 0 && streams[0].until <= now {
				g.Ended(streams[0].ticket)
				streams = streams[1:]
			}
			delay := time.Duration(float64(len(streams)) / float64(capacity) * maxDelay(objective))
			for range 2 {
				if ticket, reason := admitStream(g, now, hot, delay); reason == Admitted {
					streams = append(streams, running{ticket, now + duration})
				}
			}
			if now > 4*time.Second {
				sum += len(streams)
				samples++
			}
		}
		most := min(float64(capacity), 2*float64(duration.Milliseconds())) // streams that arrive
		mean := float64(sum) / float64(samples)
		is.True(mean >= most/2)
		is.True(mean <= 1.25*float64(capacity)+minStreams*smallProcessor)
	})
}

// maxDelay returns the longest allowed scheduling delay, in nanoseconds.
func maxDelay(objective time.Duration) float64 {
	return maxDelayFraction * float64(objective) / turnsPerRequest
}

// TestCrowdedWhenMostNewConnectionsAreRefused guards against refusing before a connection is accepted when most
// requests are admitted, which then costs more than accepting the connection first.
func TestCrowdedWhenMostNewConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(0)
	now := narrowWindow(g)
	arrive := func(first bool) bool {
		v, ticket := g.Admit(now, Request{Account: hot, Route: route, DecisionBudget: within, FirstOnConn: first})
		if v.Reason == Admitted {
			g.Decided(now, ticket, Decision{Took: 2 * within}) // the window stays small
		}
		return v.Reason != Admitted
	}
	is.True(!arrive(true))
	is.True(!g.Crowded(now))
	for g.Pending() < 20 {
		if v, _ := g.Admit(now, Request{Account: hot, Route: route, DecisionBudget: within}); v.Reason != Admitted {
			break
		}
	}
	for range 100 {
		is.True(arrive(false)) // on connections already in use
	}
	is.True(!g.Crowded(now))
	for range 100 {
		is.True(arrive(true))
	}
	is.True(g.Crowded(now))
	is.True(!g.Crowded(now + crowdedDuration))
}

package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// objective is that of the streams here: turns may be 16 ms late.
const objective = 512 * time.Millisecond

// smallRouter is the part of a core that a router has here: four streams are carried in any case.
const smallRouter = 0.04

// stream asks a gate to let a stream in, as the router's turns come so late, and decides on it at once.
func stream(g *Gate, now model.Time, account model.AccountID, late time.Duration) (Ticket, Reason) {
	v, ticket := g.Arrive(now, Request{
		Account: account, Route: route, Within: within, Stream: true, Objective: objective, Late: late,
	})
	if v.Reason == Admitted {
		g.Decided(now, ticket, Decision{})
	}
	return ticket, v.Reason
}

func TestStreamsAreUnboundWhileTurnsComeInTime(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallRouter)
	for n := range 1000 {
		_, reason := stream(g, model.Time(n)*time.Millisecond, hot, 16*time.Millisecond)
		is.Equal(reason, Admitted)
	}
}

// TestLateTurnsBoundStreams lets turns come late while a hundred streams are carried: no more are begun until some have ended, and
// there is no bound any more once turns have come in time, and less was carried than may be, for two seconds.
func TestLateTurnsBoundStreams(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallRouter)
	var carried []Ticket
	for range 100 {
		ticket, _ := stream(g, time.Second, hot, 0)
		carried = append(carried, ticket)
	}
	_, reason := stream(g, 2*time.Second, hot, 17*time.Millisecond)
	is.Equal(reason, Laden)
	for _, ticket := range carried[:40] {
		g.Ended(ticket)
	}
	_, reason = stream(g, 2*time.Second, hot, 0)
	is.Equal(reason, Admitted)
	_, reason = stream(g, 4100*time.Millisecond, hot, 0)
	is.Equal(reason, Admitted)
	_, limit := g.Carried()
	is.True(math.IsInf(limit, 1))
}

// TestQuietAccountsKeepTheirPartOfARouter lets one account have all streams of a laden router: another one's are let in up to half.
func TestQuietAccountsKeepTheirPartOfARouter(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallRouter)
	for range 40 {
		stream(g, time.Second, hot, 0)
	}
	_, reason := stream(g, 2*time.Second, hot, time.Second)
	is.Equal(reason, Laden)
	let := 0
	for range 40 {
		if _, reason := stream(g, 2*time.Second, quiet, time.Second); reason == Admitted {
			let++
		}
	}
	is.Equal(let, 18) // half of nine tenths of forty
}

// TestPlainRequestsArentBoundByStreams lets requests in whose answers aren't passed on in parts, however many streams are carried.
func TestPlainRequestsArentBoundByStreams(t *testing.T) {
	is := is.New(t)
	g := NewGate(smallRouter)
	stream(g, time.Second, hot, 0)
	_, reason := stream(g, 2*time.Second, hot, time.Second)
	is.Equal(reason, Admitted) // the least that are carried are four
	for range 10 {
		stream(g, 2*time.Second, hot, time.Second)
	}
	v, _ := admit(g, 2*time.Second, hot)
	is.Equal(v.Reason, Admitted)
}

// TestBoundOfStreamsFollowsTheProcessor draws how many streams a processor is enough for, and how long they last: turns come late
// in proportion to what is carried. From three seconds on the router carries at least half of what it could, and at most a
// quarter more in the mean.
func TestBoundOfStreamsFollowsTheProcessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		enough := rapid.IntRange(20, 300).Draw(t, "enough")
		lasts := time.Duration(rapid.IntRange(200, 3000).Draw(t, "lasts, ms")) * time.Millisecond
		g := NewGate(smallRouter)
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
			late := time.Duration(float64(len(streams)) / float64(enough) * turnLate(objective))
			for range 2 {
				if ticket, reason := stream(g, now, hot, late); reason == Admitted {
					streams = append(streams, running{ticket, now + lasts})
				}
			}
			if now > 4*time.Second {
				sum += len(streams)
				samples++
			}
		}
		most := min(float64(enough), 2*float64(lasts.Milliseconds())) // that come
		mean := float64(sum) / float64(samples)
		is.True(mean >= most/2)
		is.True(mean <= 1.25*float64(enough)+leastCarried*smallRouter)
	})
}

// turnLate returns how late a turn may come, in nanoseconds.
func turnLate(objective time.Duration) float64 { return latePart * float64(objective) / turns }

// TestRouterIsCrowdedWhereMostNewConnectionsAreRefused guards against a door that is used where most of what comes is let in, which
// then costs more than it would in the ordinary way.
func TestRouterIsCrowdedWhereMostNewConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(0)
	now := slow(g)
	arrive := func(first bool) bool {
		v, ticket := g.Arrive(now, Request{Account: hot, Route: route, Within: within, First: first})
		if v.Reason == Admitted {
			g.Decided(now, ticket, Decision{Took: 2 * within}) // the window stays small
		}
		return v.Reason != Admitted
	}
	is.True(!arrive(true))
	is.True(!g.Crowded(now))
	for g.Pending() < 20 {
		if v, _ := g.Arrive(now, Request{Account: hot, Route: route, Within: within}); v.Reason != Admitted {
			break
		}
	}
	for range 100 {
		is.True(arrive(false)) // of kept connections
	}
	is.True(!g.Crowded(now))
	for range 100 {
		is.True(arrive(true))
	}
	is.True(g.Crowded(now))
	is.True(!g.Crowded(now + crowdedFor))
}

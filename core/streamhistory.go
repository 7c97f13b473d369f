package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// historyRounds is how often a router that has started asks for the versions that were served before, historyPause
	// the time between, and historyFanOut the number of routers asked each time.
	historyRounds = 10
	historyPause  = 100 * time.Millisecond
	historyFanOut = 3
	// registrationPause is the time between two questions whether a version is registered, while the store doesn't answer.
	registrationPause = 500 * time.Millisecond
	// historyWait is how long after its start a router begins no streams of a pool with several versions without the
	// answer.
	historyWait = time.Second
)

// awaitsHistory reports whether this router has just started and can't tell yet which of several lineages the other
// routers know.
func (c *Core) awaitsHistory(pools []model.PoolID) bool {
	s := &c.streams
	if s.historyKnown || c.now >= s.started+historyWait || c.listed && len(c.members.Names()) == 0 {
		return false
	}
	_, only := s.tracker.Only(c.now, pools)
	return !only
}

// asksHistory reports whether this router still has to ask which versions were served before it started.
func (c *Core) asksHistory() bool {
	s := &c.streams
	asks := !s.historyKnown && s.historyAsked < historyRounds || c.lacksRegistration()
	return asks && len(s.holders) > 0 && len(c.config.Backends) > 0
}

func (c *Core) askHistory() {
	s := &c.streams
	if !c.asksHistory() || c.now < s.historyNext {
		return
	}
	s.historyAsked++
	s.historyNext = c.now + historyPause
	if s.historyAsked > historyRounds {
		s.historyNext = c.now + registrationPause
	}
	near, far := c.holderCandidates()
	names := slices.Concat(near, far)
	for i := range min(historyFanOut, len(names)) {
		c.datagramTo(names[(s.historyAsked*historyFanOut+i)%len(names)]).HistoryWanted = true
	}
}

func encodeHistory(seen []streams.Seen) *wire.LineageHistory {
	out := &wire.LineageHistory{}
	for _, s := range seen {
		out.Pools = append(out.Pools, uint32(s.Lineage.Pool))
		out.Builds = append(out.Builds, uint32(s.Lineage.Build))
		out.AgesMs = append(out.AgesMs, uint32(s.Age.Milliseconds()))
		out.KnownMs = append(out.KnownMs, uint32(min(s.KnownFor, streams.Retention).Milliseconds()))
	}
	return out
}

func decodeHistory(in *wire.LineageHistory) []streams.Seen {
	var out []streams.Seen
	for i, l := range decodeLineages(in.Pools, in.Builds) {
		if i < min(len(in.AgesMs), len(in.KnownMs)) {
			out = append(out, streams.Seen{
				Lineage: l, Age: time.Duration(in.AgesMs[i]) * time.Millisecond,
				KnownFor: time.Duration(in.KnownMs[i]) * time.Millisecond,
			})
		}
	}
	return out
}

// Package notices hears what backend servers say of themselves in their answers, and keeps requests from those that
// want none.
//
// Two look at what was heard. The decisions do when they choose a backend server. But a decision may be old by the time
// it is carried out: the event with the word waits for its turn at a busy router, and a connection takes a
// while to make. So whoever sends looks once more, right before the first byte.
package notices

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/model"
)

// Decisions are told what was heard.
type Decisions interface {
	Tell(core.Event)
}

// Board holds what a router has heard.
type Board struct {
	decisions Decisions
	clock     *clock.Clock
	counted   *prometheus.CounterVec // by kind

	mu   sync.Mutex
	book *notice.Book
}

// New returns a board on which nothing stands. The counter is one of answers, by what they say.
func New(decisions Decisions, c *clock.Clock, counted *prometheus.CounterVec) *Board {
	return &Board{decisions: decisions, clock: c, counted: counted, book: notice.New()}
}

// Hear takes what a backend server has said of itself, and tells whether that changes what is sent to it. A request
// that is kept from it from then on is decided on anew after the decisions have been told.
func (b *Board) Hear(id model.BackendID, n notice.Notice) (changed bool) {
	if n == (notice.Notice{}) {
		return false
	}
	if n.Leaving {
		b.counted.WithLabelValues("leaving").Inc()
	}
	if n.Rest > 0 {
		b.counted.WithLabelValues("rest").Inc()
	}
	b.decisions.Tell(core.Noticed{Backend: id, Notice: n})
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Take(b.clock.Now(), id, n)
}

// Unreadable counts a word that can't be read.
func (b *Board) Unreadable() { b.counted.WithLabelValues("unreadable").Inc() }

// Takes tells whether a backend server takes anything new, as far as it has said.
func (b *Board) Takes(id model.BackendID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Takes(b.clock.Now(), id)
}

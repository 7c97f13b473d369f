// Package notice keeps what backend servers have said of themselves: that they leave, or that they want rest.
//
// # Whose word it is
//
// A word holds for one life of a backend server, and for the router to which it was said. A name stands for one life:
// what starts again, also at the same address, comes under another name, and nothing that was said before concerns it.
// A router that starts has heard nothing, and hears it with the first answer.
//
// A word of leaving holds whatever else tells otherwise: a catalog may be older than the word, as while the store is
// out. A rest ends by itself; of two that overlap, the one that lasts longer holds.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Notice is what a backend server says of itself, beside an answer.
type Notice struct {
	// Leaving tells that it is about to end and wants nothing more.
	Leaving bool
	// Rest is for how long it wants nothing from this router, 0 where it doesn't ask for any.
	Rest time.Duration
}

const (
	// kept is how long a word of leaving holds after it was last said. Backend servers that leave end within
	// minutes; the identity of one that has ended may be that of another some day, as it is 32 bits of a hash.
	kept = time.Hour
	// most is how many words of leaving are kept, the newest ones: more than the backend servers of the largest
	// fleet that is aimed for.
	most = 8192
	// left is how many are left of them once there are more, so that they are gone over seldom: done at each word,
	// 8,192 words beyond most took 41 s, 5 ms each (TestBookIsBounded, which takes 0.02 s now).
	left = most * 3 / 4
)

// Book is what one router has heard. It reads no clock.
type Book struct {
	leaving map[model.BackendID]model.Time // when it was last said
	rests   map[model.BackendID]model.Time // until when
}

// New returns a book in which nothing is written.
func New() *Book {
	return &Book{leaving: map[model.BackendID]model.Time{}, rests: map[model.BackendID]model.Time{}}
}

// Take takes what a backend server has said, and tells whether that changes what is sent to it.
func (b *Book) Take(now model.Time, id model.BackendID, n Notice) (changed bool) {
	could := b.Takes(now, id)
	if n.Leaving {
		b.leaving[id] = now
		b.forget(now)
	}
	if n.Rest > 0 {
		b.endRests(now)
		b.rests[id] = max(b.rests[id], now+n.Rest)
	}
	return could && !b.Takes(now, id)
}

// Takes tells whether a backend server takes anything new, as far as it has said.
func (b *Book) Takes(now model.Time, id model.BackendID) bool {
	return !b.Leaves(now, id) && b.RestsUntil(now, id) == 0
}

// Leaves tells whether a backend server has said that it leaves.
func (b *Book) Leaves(now model.Time, id model.BackendID) bool {
	at, said := b.leaving[id]
	return said && now-at <= kept
}

// RestsUntil returns when a backend server will have rested, 0 where it doesn't rest.
func (b *Book) RestsUntil(now model.Time, id model.BackendID) model.Time {
	until := b.rests[id]
	if until <= now {
		return 0
	}
	return until
}

// endRests forgets the rests that are over.
func (b *Book) endRests(now model.Time) {
	for id, until := range b.rests {
		if until <= now {
			delete(b.rests, id)
		}
	}
}

// forget drops the words of leaving that hold no more and, of more than most, the oldest ones.
func (b *Book) forget(now model.Time) {
	if len(b.leaving) <= most {
		return
	}
	for id, at := range b.leaving {
		if now-at > kept {
			delete(b.leaving, id)
		}
	}
	byAge := slices.SortedFunc(maps.Keys(b.leaving), func(x, y model.BackendID) int {
		return cmp.Or(cmp.Compare(b.leaving[x], b.leaving[y]), cmp.Compare(x, y))
	})
	for _, id := range byAge[:max(len(byAge)-left, 0)] {
		delete(b.leaving, id)
	}
}

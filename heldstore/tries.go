package heldstore

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/store"
)

// TriesKey is the store key of the document that holds the requests that are being tried, and since when.
const TriesKey = "tamarindstep/tries"

const (
	// claimTTL is how long a claim excludes other routers from trying the request. After that, all routers have the
	// result of the try, or no longer wait for it.
	claimTTL = 5 * time.Second
	// claimTimeout limits how long a request waits for a claim, and maxClaimSwaps the number of swaps that can fail
	// because of concurrent claims.
	claimTimeout  = 500 * time.Millisecond
	maxClaimSwaps = 5
)

// try claims a try in the background and sends the result to the scheduler.
func (s *Service) try(a core.RequestTry) {
	s.claims.Go(func() {
		ctx, cancel := context.WithTimeout(s.run, claimTimeout)
		defer cancel()
		s.scheduler.Enqueue(core.TryAnswered{ID: a.ID, Granted: s.claim(ctx, a.Fingerprint)})
	})
}

// claim reports whether this router may try a request now. Of concurrent claims, one swap succeeds regardless of the
// clocks of the routers; the clocks only distinguish expired claims from those whose try may be running. While the
// store is unavailable no claim is granted, which affects nothing but tries.
func (s *Service) claim(ctx context.Context, f model.Fingerprint) bool {
	s.metrics.StoreCalls.WithLabelValues("try").Inc()
	known, err := s.store.Get(ctx, TriesKey)
	for range maxClaimSwaps {
		if err != nil {
			s.metrics.StoreFailures.WithLabelValues("try").Inc()
			s.log.Warn().Err(err).Stringer("fingerprint", f).Msg("try of a held-back request deferred: can't claim it in the store")
			return false
		}
		now := time.Now()
		tries := s.recentTries(known, now)
		if _, claimed := tries[f.String()]; claimed {
			return false
		}
		tries[f.String()] = now.UnixMilli()
		data, marshalErr := json.Marshal(tries)
		if marshalErr != nil {
			s.log.Error().Err(marshalErr).Msg("can't encode tries")
			return false
		}
		s.metrics.StoreCalls.WithLabelValues("try").Inc()
		next, swapped, swapErr := s.store.Swap(ctx, TriesKey, known.Revision, data)
		if swapped {
			return true
		}
		known, err = next, swapErr
	}
	return false
}

// recentTries returns the times of the claims that have not expired, in Unix ms. A document that cannot be decoded is
// treated as empty.
func (s *Service) recentTries(v store.Value, now time.Time) map[string]int64 {
	out := map[string]int64{}
	if v.Revision == 0 {
		return out
	}
	if err := json.Unmarshal(v.Data, &out); err != nil || out == nil {
		s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("can't decode the store's tries")
		return map[string]int64{}
	}
	maps.DeleteFunc(out, func(_ string, at int64) bool { return now.Sub(time.UnixMilli(at)).Abs() >= claimTTL })
	return out
}

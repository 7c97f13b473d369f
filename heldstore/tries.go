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

// TriesKey is where the store holds which requests are being tried, and since when.
const TriesKey = "tamarindstep/tries"

const (
	// tryFor is how long nobody else tries a request: what came of the try is known to all routers by then, or they don't
	// wait for it any more.
	tryFor = 5 * time.Second
	// claimWithin bounds how long a request waits for the answer, and claimSwaps how often others' claims may come between.
	claimWithin = 500 * time.Millisecond
	claimSwaps  = 5
)

// try asks for a try. It doesn't block.
func (s *Service) try(a core.AskTry) {
	s.claims.Go(func() {
		ctx, cancel := context.WithTimeout(s.run, claimWithin)
		defer cancel()
		s.decisions.Tell(core.TryAnswered{ID: a.ID, Granted: s.claim(ctx, a.Fingerprint)})
	})
}

// claim tells whether this router may try a request now. Of routers that claim at the same time one swap goes through, whatever their
// clocks say; by their clocks they tell a claim of before from one whose try may be under way. Without the store nobody
// tries: all else goes on.
func (s *Service) claim(ctx context.Context, f model.Fingerprint) bool {
	s.metrics.StoreCalls.WithLabelValues("try").Inc()
	known, err := s.store.Get(ctx, TriesKey)
	for range claimSwaps {
		if err != nil {
			s.metrics.StoreFailures.WithLabelValues("try").Inc()
			s.log.Warn().Err(err).Stringer("fingerprint", f).Msg("try of a held-back request put off: the store doesn't grant it")
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
			s.log.Error().Err(marshalErr).Msg("tries can't be written")
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

// recentTries returns when each request was claimed whose try may be under way, in Unix ms. What can't be read holds none.
func (s *Service) recentTries(v store.Value, now time.Time) map[string]int64 {
	out := map[string]int64{}
	if v.Revision == 0 {
		return out
	}
	if err := json.Unmarshal(v.Data, &out); err != nil || out == nil {
		s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("the store's tries can't be read")
		return map[string]int64{}
	}
	maps.DeleteFunc(out, func(_ string, at int64) bool { return now.Sub(time.UnixMilli(at)).Abs() >= tryFor })
	return out
}

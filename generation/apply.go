package generation

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check/checks"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Apply is a request to bring a new configuration into force.
type Apply struct {
	ID   string // the same for each attempt of an apply
	Base uint64 // generation that it is based on
	Text []byte
}

// NewApplyID returns a unique identifier.
func NewApplyID() string { return rand.Text() }

// Apply swaps the configuration in the store and returns its generation. The configuration is accepted once the store
// has it. Findings are returned as an error.
func (s *Service) Apply(ctx context.Context, a Apply) (uint64, error) {
	if s.readOnly {
		return 0, ReadOnly.New("the configuration is put into the store by others")
	}
	_, findings := checks.File("configuration", a.Text)
	if err := findings.Err(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	sent := false
	for {
		generation, done, err := s.tryApply(ctx, a, &sent)
		if done {
			return generation, err
		}
		switch {
		case s.sleepUnlessDone(ctx):
		case sent:
			return 0, OutcomeUnknown.New("the store's answer is lost and it can't be read back")
		default:
			return 0, store.Unavailable.Wrap(err, "nothing was applied")
		}
	}
}

// ReadCurrent returns the document that the store has, nil if it has none. The router may not have received it yet. The
// error is of type store.Unavailable.
func (s *Service) ReadCurrent(ctx context.Context) (*wire.Document, error) {
	if s.readOnly {
		return s.Document(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		s.metrics.StoreCalls.WithLabelValues("get").Inc()
		v, err := s.store.Get(ctx, Key)
		if err == nil {
			s.installValue(v)
			return s.Document(), nil
		}
		s.metrics.StoreFailures.WithLabelValues("get").Inc()
		if !s.sleepUnlessDone(ctx) {
			return nil, store.Unavailable.Wrap(err, "the store doesn't answer")
		}
	}
}

// sleepUnlessDone pauses before the next attempt, and reports whether there is time for it.
func (s *Service) sleepUnlessDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// tryApply reads the store and swaps. done reports whether the outcome is determined. The next attempt resolves a
// swap whose response was lost: either the document contains the apply's identifier, or the swap is made again on the
// same revision, and only one of the two can succeed.
func (s *Service) tryApply(ctx context.Context, a Apply, sent *bool) (generation uint64, done bool, err error) {
	s.metrics.StoreCalls.WithLabelValues("get").Inc()
	v, err := s.store.Get(ctx, Key)
	if err != nil {
		return 0, false, err
	}
	before := &wire.Document{}
	if err := proto.Unmarshal(v.Data, before); err != nil {
		return 0, true, config.Corrupt.Wrap(err, "the store's configuration can't be read")
	}
	if slices.Contains(before.Applies, a.ID) {
		s.installValue(v)
		return before.Generation, true, nil
	}
	if before.Generation != a.Base {
		return 0, true, Conflict.New("the last generation is %d, not %d", before.Generation, a.Base)
	}
	after, err := config.NewDocument(before, a.ID, a.Text)
	if err != nil {
		return 0, true, err
	}
	data, err := proto.Marshal(after)
	if err != nil {
		return 0, true, err
	}
	s.metrics.StoreCalls.WithLabelValues("swap").Inc()
	next, swapped, err := s.store.Swap(ctx, Key, v.Revision, data)
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("swap").Inc()
		*sent = *sent || errorx.IsOfType(err, store.Ambiguous)
		return 0, false, err
	}
	if !swapped {
		return 0, false, nil
	}
	s.installValue(next)
	return after.Generation, true, nil
}

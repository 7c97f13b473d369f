package streamstore

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/pause"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// storeStreams queues the router's unfinished streams to be written. A later call replaces what hasn't been written. It
// does not block.
func (s *Service) storeStreams(a core.StoreStreams) {
	s.mu.Lock()
	s.newest = &a
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maintainStreams reads the streams that this router had begun before it started, and then writes those that it begins.
func (s *Service) maintainStreams(ctx context.Context) {
	known := s.readStreams(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		known = s.writeStreams(ctx, known)
	}
}

// readStreams reads the streams as soon as the store answers, and sends them to the scheduler.
func (s *Service) readStreams(ctx context.Context) store.Value {
	for {
		v, err := s.get(ctx, s.key, "streams")
		if err == nil {
			records := &wire.StreamRecords{}
			if err := proto.Unmarshal(v.Data, records); err != nil {
				s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("can't decode the store's streams")
				records = &wire.StreamRecords{}
			}
			s.log.Info().Int("streams", len(records.Streams)).Int64("revision", v.Revision).Msg("streams read from the store")
			s.scheduler.Enqueue(core.StreamsLoaded{Records: records})
			return v
		}
		if pause.For(ctx, retryDelay) != nil {
			return store.Value{}
		}
	}
}

// writeStreams writes the newest streams, and returns the resulting value. The caller writes again after a failure: the
// core sends the streams anew.
func (s *Service) writeStreams(ctx context.Context, known store.Value) store.Value {
	s.mu.Lock()
	next := s.newest
	s.newest = nil
	s.mu.Unlock()
	if next == nil {
		return known
	}
	data, err := proto.Marshal(next.Records)
	if err != nil {
		s.log.Error().Err(err).Msg("can't encode streams")
		return known
	}
	v, swapped, err := s.swap(ctx, s.key, "streams", known.Revision, data)
	s.scheduler.Enqueue(core.StreamsStored{Stored: swapped})
	if err != nil {
		return known
	}
	return v
}

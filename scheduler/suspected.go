package scheduler

import (
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
)

// Suspects tells whether backend servers have ended under a request of an account. Only then are its
// requests known by fingerprint, so that all others cost nothing.
func (s *Service) Suspects(account model.AccountID) bool {
	accounts := s.suspected.Load()
	return accounts != nil && (*accounts)[account]
}

func (s *Service) setSuspected(accounts []model.AccountID) {
	set := make(map[model.AccountID]bool, len(accounts))
	for _, id := range accounts {
		set[id] = true
	}
	s.suspected.Store(&set)
}

// noteHeld hands on that a request is held back, or isn't any more, or that a try of it has failed.
func (s *Service) noteHeld(a core.HeldChanged) {
	s.logHeld(a)
	s.eachObserver(func(o Observer) {
		if o.Held != nil {
			o.Held(a)
		}
	})
}

// askTry asks whoever grants tries.
func (s *Service) askTry(a core.AskTry) {
	s.mu.Lock()
	if s.waiters[a.ID] != nil {
		s.asked[a.ID] = s.now()
	}
	s.mu.Unlock()
	s.eachObserver(func(o Observer) {
		if o.Try != nil {
			o.Try(a)
		}
	})
}

// tryIsAsked tells whether anybody grants tries.
func (s *Service) tryIsAsked() bool {
	asked := false
	s.eachObserver(func(o Observer) { asked = asked || o.Try != nil })
	return asked
}

// logHeld notes that a request is held back, or isn't any more, and counts those that are.
func (s *Service) logHeld(a core.HeldChanged) {
	line := s.log.Info().Stringer("fingerprint", model.Fingerprint(a.Suspicion.Fingerprint)).Bool("seen", a.Seen)
	if !a.Held {
		s.metrics.Share.Held.Dec()
		line.Msg("request let go")
		return
	}
	if a.Failed {
		line.Int("ends", len(a.Suspicion.Backends)).Msg("try of a held-back request failed")
		return
	}
	s.metrics.Share.Held.Inc()
	line.Int("ends", len(a.Suspicion.Backends)).Uints32("ended_ms", a.Suspicion.EndedMs).Msg("request held back")
}

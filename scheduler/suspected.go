package scheduler

import (
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// HasSuspects reports whether an account has suspected requests. Only then are its requests
// fingerprinted, which saves the cost for all other accounts.
func (s *Service) HasSuspects(account model.AccountID) bool {
	accounts := s.suspectedAccounts.Load()
	return accounts != nil && (*accounts)[account]
}

func (s *Service) setSuspected(accounts []model.AccountID) {
	set := make(map[model.AccountID]bool, len(accounts))
	for _, id := range accounts {
		set[id] = true
	}
	s.suspectedAccounts.Store(&set)
}

// reportHeld logs and sends to the observers that a request is held back, or no longer, or that a try of it has failed.
func (s *Service) reportHeld(a core.HeldChanged) {
	s.logHeld(a)
	s.eachObserver(func(o Observer) {
		if o.HeldChanged != nil {
			o.HeldChanged(a)
		}
	})
}

// requestTry sends the request for a try to the observers.
func (s *Service) requestTry(a core.RequestTry) {
	s.mu.Lock()
	if s.waiters[a.ID] != nil {
		s.tryRequested[a.ID] = s.now()
	}
	s.mu.Unlock()
	s.eachObserver(func(o Observer) {
		if o.RequestTry != nil {
			o.RequestTry(a)
		}
	})
}

// hasTryObserver reports whether an observer grants tries.
func (s *Service) hasTryObserver() bool {
	found := false
	s.eachObserver(func(o Observer) { found = found || o.RequestTry != nil })
	return found
}

// heldName names what is held back in log messages.
func heldName(in *wire.Suspicion) string {
	if in.Pool != 0 {
		return "prompt part"
	}
	return "request"
}

// logHeld logs that a request or a part of prompts is held back, or no longer, or that a try has failed, and updates the
// number of those held back.
func (s *Service) logHeld(a core.HeldChanged) {
	name := heldName(a.Suspicion)
	line := s.log.Info().Stringer("fingerprint", model.Fingerprint(a.Suspicion.Fingerprint)).Bool("seen", a.Seen)
	if a.Suspicion.Pool != 0 {
		line = line.Str("pool", a.Pool).Stringer("part", model.PromptPart{ID: a.Suspicion.Part})
	}
	if !a.Held {
		s.metrics.Scheduler.HeldRequests.Dec()
		line.Msg(name + " let go")
		return
	}
	if a.Failed {
		line.Int("ends", len(a.Suspicion.Backends)).Msg("try of a held-back " + name + " failed")
		return
	}
	s.metrics.Scheduler.HeldRequests.Inc()
	line.Int("ends", len(a.Suspicion.Backends)).Uints32("ended_ms", a.Suspicion.EndedMs).Msg(name + " held back")
}

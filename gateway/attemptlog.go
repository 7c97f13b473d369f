package gateway

import (
	"cmp"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/scheduler"
)

// log returns a log line with the fields of the request.
func (a *attempt) log(outcome string) *zerolog.Event {
	route := ""
	if a.route != nil {
		route = a.route.Name
	}
	return a.service.log.Info().Str("request", a.meta.ID).Str("outcome", outcome).
		Str("account", a.accountName).Str("route", route).Dur("age_ms", a.service.clock.Since(a.began))
}

// logDispatch logs a dispatch with the basis of the decision.
func (a *attempt) logDispatch(d scheduler.Decision, backend core.Backend, inForce *config.Compiled) {
	logBasis(a.logResumed(a.log("dispatched"), d), d.Basis).Str("backend", backend.Name).Str("version", backend.Version).Int("send", a.sends+1).
		Dur("waited_ms", d.Waited).Int("copied", d.Copied).
		Uint64("generation", inForce.Generation).Uint64("catalog", inForce.Catalog).Uint64("halls", inForce.Halls).
		Msg("request dispatched")
}

// logResumed adds to a log line which stream the request resumes, if it does.
func (a *attempt) logResumed(line *zerolog.Event, d scheduler.Decision) *zerolog.Event {
	after := cmp.Or(a.relay.lastEventID(), a.meta.LastEvent)
	if after == "" {
		return line
	}
	line = line.Str("after_event", after).Str("resumes", a.meta.Resumes)
	if d.Refusal == core.UnknownStream {
		line = line.Str("registry", string(d.Lookup.Registry)).Int("registered", d.Lookup.Listed).
			Int("routers_heard", d.Lookup.Heard).Int("routers", d.Lookup.Routers)
	}
	if d.LineageFrom == "" {
		return line
	}
	return line.Str("lineage_from", string(d.LineageFrom)).Dur("lineage_ms", d.LineageAge)
}

// logBasis adds the basis of a decision to a log line.
func logBasis(line *zerolog.Event, b prompt.Basis) *zerolog.Event {
	return line.Dur("delay_ms", b.Delay).Dur("soonest_ms", b.MinDelay).Int("unread", b.PrefillTokens).
		Int("backlog", b.Backlog).Int("unheard", b.UnreportedTokens).Float64("slowness", b.Slowness).
		Bool("over_share", b.OverShare).Str("standing", b.ShareStatus).Float64("best_begun", b.MostStarted).Float64("share_had", b.StartedFraction).Float64("share_asked", b.RequestedFraction).
		Float64("share_lately", b.RecentStartedFraction).Float64("owed", b.FairShare).Float64("bound", b.WindowLimit).Float64("bound_lately", b.BurstLimit).Dur("loads_age_ms", b.OldestContactAge)
}

package gateway

import "github.com/tamarindstep/tamarindstep/scheduler"

// hear notes what a backend server says of itself beside its answer. Only an answer to this very request is
// surely of the backend server that it was sent to.
func (a *attempt) hear(d scheduler.Decision, answer AnswerMeta) {
	if answer.ID != a.meta.ID {
		return
	}
	notices := a.service.metrics.Front.Notices
	if answer.Problem != nil {
		notices.WithLabelValues("unreadable").Inc()
		a.log("notice").Str("backend", a.nameOf(d)).Err(answer.Problem).Msg("what a backend server says of itself can't be read")
	}
	if answer.Notice == (Notice{}) {
		return
	}
	if answer.Notice.Leaving {
		notices.WithLabelValues("leaving").Inc()
	}
	if answer.Notice.Rest > 0 {
		notices.WithLabelValues("rest").Inc()
	}
	a.log("notice").Str("backend", a.nameOf(d)).Bool("leaving", answer.Notice.Leaving).
		Dur("rest_ms", answer.Notice.Rest).Msg("backend server says of itself")
}

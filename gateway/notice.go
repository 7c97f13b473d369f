package gateway

import "github.com/tamarindstep/tamarindstep/scheduler"

// hear takes what a backend server says of itself beside its answer, as soon as the answer's head has come: a stream
// goes on for long. Only an answer to this very request is surely of the backend server that it was sent to.
func (a *attempt) hear(d scheduler.Decision, answer AnswerMeta) {
	if answer.ID != a.meta.ID {
		return
	}
	if answer.Problem != nil {
		a.service.notices.Unreadable()
		a.log("notice").Str("backend", a.nameOf(d)).Err(answer.Problem).Msg("what a backend server says of itself can't be read")
	}
	if !a.service.notices.Hear(d.Backend, answer.Notice) {
		return
	}
	a.log("notice").Str("backend", a.nameOf(d)).Bool("leaving", answer.Notice.Leaving).
		Dur("rest_ms", answer.Notice.Rest).Msg("backend server wants nothing new")
}

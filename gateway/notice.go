package gateway

import "github.com/tamarindstep/tamarindstep/scheduler"

// recordNotice records a backend server's notice about its own state as soon as the head of the response has arrived,
// because a stream may last long. Only a response with the identifier of this request certainly comes from the backend
// server that it was sent to.
func (a *attempt) recordNotice(d scheduler.Decision, response ResponseMeta) {
	if response.ID != a.meta.ID {
		return
	}
	if response.NoticeErr != nil {
		a.service.notices.Unreadable()
		a.log("notice").Str("backend", a.nameOf(d)).Err(response.NoticeErr).Msg("what a backend server says of itself can't be read")
	}
	if !a.service.notices.Record(d.Backend, response.Notice) {
		return
	}
	a.log("notice").Str("backend", a.nameOf(d)).Bool("leaving", response.Notice.Leaving).
		Dur("rest_ms", response.Notice.Rest).Msg("backend server wants nothing new")
}

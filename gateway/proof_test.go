package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/model"
)

// eventRecorder is a scheduler for which every account has suspects.
type eventRecorder struct{ events []core.Event }

func (r *eventRecorder) HasSuspects(model.AccountID) bool { return true }
func (r *eventRecorder) Enqueue(e core.Event)             { r.events = append(r.events, e) }

// TestServerErrorDoesNotClearRequest guards against clearing a request that crashes backend servers because one of them
// failed before it ran it.
func TestServerErrorDoesNotClearRequest(t *testing.T) {
	is := is.New(t)
	recorder := &eventRecorder{}
	tracker := blame.Tracker{Scheduler: recorder, Fingerprints: fingerprint.NewHasher([]byte("a key"))}
	a := &attempt{blame: tracker.Track(7, func() fingerprint.Request { return fingerprint.Request{Account: "league"} })}
	for status, cleared := range map[int]int{500: 0, 502: 0, 504: 0, 200: 1, 404: 1} {
		recorder.events = nil
		a.recordAnswer(status)
		is.Equal(len(recorder.events), cleared)
	}
}

// TestLongAnswersDoNotSuspectParts guards against telling the fleet of the prompts of all streams that a backend server
// carried when it ended.
func TestLongAnswersDoNotSuspectParts(t *testing.T) {
	is := is.New(t)
	a := &attempt{meta: RequestMeta{Prompt: model.Prompt{Parts: []model.Part{{ID: 1}, {ID: 2}, {ID: 3}}}}}
	is.Equal(len(a.suspectParts()), 2) // no answer yet
	a.answeredAt = time.Now().Add(-crashTime / 2)
	is.Equal(len(a.suspectParts()), 2)
	a.answeredAt = time.Now().Add(-2 * crashTime)
	is.Equal(len(a.suspectParts()), 0)
}

package exchange

import (
	"testing"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestBrokenAnswersAreNoResponse guards against an answer that breaks the grammar of HTTP/1.1 being read as a response.
func TestBrokenAnswersAreNoResponse(t *testing.T) {
	for name, text := range users.BrokenAnswers {
		t.Run(name, func(t *testing.T) {
			body, err := readAll(t, clientOf(t, users.BrokenAnswer(text, "id", "seal")), Options{Timeout: patience, AllowUndelimited: true})
			if err == nil {
				t.Errorf("read as %q", body)
			}
		})
	}
}

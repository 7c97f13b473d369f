package judge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stream returns a body with the events of the given numbers.
func stream(numbers ...int) string {
	var out strings.Builder
	for _, n := range numbers {
		_, _ = fmt.Fprintf(&out, "id: %d\ndata: word\n\n", n)
	}
	return out.String()
}

// TestRules checks for each rule a history that breaks it, and one just as close that doesn't.
func TestRules(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		want    []Rule
	}{
		"whole answer":                {Request{Body: "whole", Runs: 1, Answer: Answer{Status: 200, Body: "whole"}}, nil},
		"half an answer":              {Request{Body: "whole", Runs: 1, Answer: Answer{Status: 200, Body: "who"}}, []Rule{Truncated}},
		"half an answer, broken off":  {Request{Body: "whole", Runs: 1, Answer: Answer{Status: 200, Body: "who", Broken: true}}, nil},
		"whole stream":                {Request{Events: 3, Runs: 1, Answer: Answer{Status: 200, Body: stream(1, 2, 3)}}, nil},
		"stream without its end":      {Request{Events: 3, Runs: 1, Answer: Answer{Status: 200, Body: stream(1, 2)}}, []Rule{Truncated}},
		"stream broken off":           {Request{Events: 3, Runs: 1, Answer: Answer{Status: 200, Body: stream(1, 2), Broken: true}}, nil},
		"stream with a gap":           {Request{Events: 3, Runs: 1, Answer: Answer{Status: 200, Body: stream(1, 3), Broken: true}}, []Rule{Disordered}},
		"stream with a repetition":    {Request{Events: 3, Runs: 2, Answer: Answer{Status: 200, Body: stream(1, 2, 2, 3)}}, []Rule{Disordered}},
		"resumed stream":              {Request{Events: 3, Runs: 2, Answer: Answer{Status: 200, Body: stream(1, 2, 3)}}, nil},
		"another request's answer":    {Request{ID: "a", Body: "whole", Runs: 1, Answer: Answer{Status: 200, ID: "b", Body: "whole"}}, []Rule{Foreign}},
		"refused":                     {Request{Answer: Answer{Status: 503}}, nil},
		"refused after a run":         {Request{Runs: 1, Answer: Answer{Status: 503}}, []Rule{RefusedAfterRun}},
		"failed after a run":          {Request{Runs: 1, Answer: Answer{Status: 502}}, nil},
		"run twice":                   {Request{Once: true, Runs: 2, Answer: Answer{Status: 502}}, []Rule{RunTwice}},
		"run twice, as it may":        {Request{Runs: 2, Answer: Answer{Status: 502}}, nil},
		"no answer":                   {Request{Once: true, Runs: 1, Answer: Answer{Broken: true}}, nil},
		"refused after two runs, too": {Request{Once: true, Runs: 2, Answer: Answer{Status: 429}}, []Rule{RunTwice, RefusedAfterRun}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []Rule
			for _, breach := range Check(test.request) {
				got = append(got, breach.Rule)
			}
			is.Equal(got, test.want)
		})
	}
}

func FuzzCheck(f *testing.F) {
	f.Add(200, "id: 1\ndata: x\n\n", 3, false)
	f.Add(503, "", 0, true)
	f.Fuzz(func(_ *testing.T, status int, body string, events int, broken bool) {
		Check(Request{Events: events, Body: body, Answer: Answer{Status: status, Body: body, Broken: broken}})
	})
}

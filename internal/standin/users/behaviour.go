package users

import "time"

// Behaviour specifies how a backend server answers.
type Behaviour struct {
	Events             int           // of a streamed answer; 0 for a plain answer
	Gap                time.Duration // between events, and before a plain answer
	HoldUntil          chan struct{} // a plain answer is delayed until this is closed, nil for no delay
	AbortAfter         int           // events after which the answer is aborted, 0 for never
	AbortWithinEvent   bool          // it is aborted within the next event
	AbortEvery         int           // only every nth run is aborted, and none that resumes a stream; 0 for all runs
	FalseEnd           bool          // an aborted stream ends with its last chunk
	CrashOnAbort       bool          // the server crashes as it aborts an answer
	NoLength           bool          // the answer has neither a length nor chunks and ends with its connection
	Framings           []Form        // how the ends of its answers are marked, in turn; nil for the usual form
	HalfPause          time.Duration // between the halves of a plain answer, 0 to send it at once
	LineEnd            string        // of the lines of events, "" for LF
	Reset              bool          // the connection is reset instead of closed
	Drop               bool          // the connection is closed without an answer once the request is read
	Reject             bool          // every request is rejected without being run
	Status             int           // of a plain answer, 0 for 200
	ExtraAnswer        bool          // the answer to another request precedes the answer
	Surplus            string        // bytes that belong to no request and precede the answer, "" for none
	AnswerBeforeBody   bool          // the answer is sent before the body is read
	Early              *EarlyAnswer  // the answer to requests with a body, nil for none
	Broken             string        // the text of a broken answer, "" for none
	OmitRequestID      bool          // the answer has no request identifier
	CrashOnBody        string        // the body of requests that make the server crash, "" for none
	CrashOnPart        string        // the part of prompts on which the server crashes as it begins to answer, "" for none
	CrashAfterHead     bool          // the head of the answer to such a request is sent before
	CrashDelay         time.Duration // time from a request that makes it crash to the crash
	Leaving            bool          // all answers report that the server is shutting down
	ExtraAnswerLeaving bool          // the surplus answer reports a shutdown, while its own answers don't
	RetryAfter         string        // every request is rejected with this Retry-After value, in seconds; "" for none
	Endless            Endless       // what is sent without end until the caller closes the connection, "" for nothing
	form               Form          // of a plain answer, set for each run from Framings
	EndlessPause       time.Duration // between the bytes of Endless, 0 to send as fast as they are read
}

// frame sets the form of the answer to the nth run.
func (x *Behaviour) frame(run int) {
	if len(x.Framings) == 0 {
		return
	}
	x.form = x.Framings[run%len(x.Framings)]
	x.NoLength = x.form == UntilClose
}

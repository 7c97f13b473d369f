package emulator

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

// planNext plans an account's next request of a kind.
func (w *world) planNext(kind, account int) {
	hot := w.Load.isHot(account, w.time.Now()-settle-w.WarmUp, w.Length)
	w.time.At(w.time.Now()+w.source.gap(kind, account, hot), func() {
		c := w.source.draw(kind, account, w.time.Now())
		w.calls = append(w.calls, c)
		w.try(c)
		w.planNext(kind, account)
	})
}

// try sends a caller's request to a router.
func (w *world) try(c *call) {
	c.tries++
	w.service.ask(w.time.Now(), c)
	n := w.nodes[w.Load.routerOf(c.account, len(w.nodes), w.random)]
	k := w.Load.Kinds[c.kind]
	w.time.At(w.time.Now()+w.CallerLink, func() {
		if !n.spare.take(w.time.Now()) {
			w.turnAway(n, c)
			return
		}
		n.nextID++
		n.calls[n.nextID] = c
		w.step(n, core.Arrive{
			ID: n.nextID, Account: model.Account(accountName(c.account)), Pool: model.Pool(poolName),
			Input: float64(c.prompt.Tokens), Wait: k.Deadline - (w.time.Now() - c.sent),
			Route: uint32(c.kind), Prompt: c.prompt, Objective: k.Objective,
		})
	})
}

func (w *world) dispatch(n *node, a core.Dispatch) {
	c := n.calls[a.ID]
	e := w.engines[a.Backend]
	k := w.Load.Kinds[c.kind]
	last := model.Time(0)
	pause := func() {
		c.broken = c.broken || last > 0 && w.time.Now()-last > k.Pause
		last = w.time.Now()
	}
	c.run = &run{prompt: &c.prompt, output: c.output}
	c.run.first = func() {
		pause()
		c.first = w.time.Now() + w.CallerLink - c.sent
		w.service.begin(w.time.Now(), c)
		w.step(n, core.Began{ID: a.ID})
	}
	c.run.each = func() {
		pause()
		w.step(n, core.Progress{ID: a.ID, Output: float64(c.run.made)})
	}
	c.run.done = func() {
		c.done = true
		delete(n.calls, a.ID)
		w.step(n, core.Finish{ID: a.ID, Output: float64(c.output), Ending: core.Done})
	}
	c.at = e
	if !e.accept(c.run) {
		w.time.At(w.time.Now(), func() { w.step(n, core.Finish{ID: a.ID, Ending: core.Rejected}) })
		w.comeBack(n, a.ID, 0)
		return
	}
	w.time.At(c.sent+k.Deadline, func() { w.leave(n, a.ID) })
}

// leave lets a caller leave whose time is over.
func (w *world) leave(n *node, id core.RequestID) {
	c := n.calls[id]
	if c == nil {
		return
	}
	delete(n.calls, id)
	c.at.drop(c.run)
	w.step(n, core.Finish{ID: id, Output: float64(c.run.made), Ending: core.Broken})
}

func (w *world) refused(n *node, a core.Refuse) {
	if c := n.calls[a.ID]; c != nil {
		w.service.wait(w.time.Now(), c)
		if a.Reason == core.Refusal(prompt.OverShare) {
			w.service.hold(w.time.Now(), c)
		}
	}
	w.comeBack(n, a.ID, a.RetryAfter)
}

// turnedAwayRetry is when a caller is asked back whose request was refused by its header.
const turnedAwayRetry = 300 * time.Millisecond

// turnAway refuses a request that the router's processor isn't enough for.
func (w *world) turnAway(n *node, c *call) {
	w.step(n, core.TurnedAway{Requests: []core.Unread{{
		Account: model.Account(accountName(c.account)), Pool: model.Pool(poolName),
		Route: uint32(c.kind), Prompt: c.prompt,
	}}})
	w.service.wait(w.time.Now(), c)
	w.tryAgain(c, turnedAwayRetry)
}

// comeBack lets a caller that was refused come back where it does.
func (w *world) comeBack(n *node, id core.RequestID, after time.Duration) {
	c := n.calls[id]
	delete(n.calls, id)
	if c != nil {
		w.tryAgain(c, after)
	}
}

// tryAgain lets a caller come back, unless it has done so often enough or its time is over.
func (w *world) tryAgain(c *call, after time.Duration) {
	if c.tries > w.Load.Retries {
		return
	}
	left := w.Load.Kinds[c.kind].Deadline - (w.time.Now() - c.sent)
	if left <= 0 {
		return
	}
	w.time.At(w.time.Now()+min(after, left/callerPatience), func() { w.try(c) })
}

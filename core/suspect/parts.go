package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// partThreshold is the sum of points at which a part of prompts is held back: after three ends without another
	// explanation, and after four that aren't simultaneous at the latest. It is higher than that of requests, as a part is
	// shared by many.
	partThreshold = 8
	// maxClusterPoints bounds what backend servers that end at about the same time count against a part: a part that
	// many prompts share runs on most of them, so that one common cause must not hold it back.
	maxClusterPoints = 2 * strongPoints
	// answeredGrace is how long before an end a complete answer to a prompt with the part exonerates it: no backend
	// server gives one to a part on which each crashes, while a part that many prompts share gets one all the time.
	answeredGrace = 10 * time.Second
	// maxParts is the number of parts of one prompt that are recorded.
	maxParts = 64
	// maxAnswered is the number of parts whose last complete answer is stored. Answers to further ones count only for
	// parts that are suspected already.
	maxAnswered = 8192
	// answerSpread is the time over which routers spread the news that a part is exonerated: most of those that hear of
	// it then needn't send it themselves.
	answerSpread = 500 * time.Millisecond
)

// PartFingerprints returns the fingerprints of the parts of a prompt that other prompts may share.
func PartFingerprints(pool model.PoolID, shared []model.Part) []model.Fingerprint {
	var out []model.Fingerprint
	for _, part := range partsOf(pool, shared) {
		out = append(out, part.Fingerprint())
	}
	return out
}

// IsPart reports whether a fingerprint is that of a suspected part of prompts.
func (b *Tracker) IsPart(f model.Fingerprint) bool {
	e := b.entries[f]
	return e != nil && e.isPart()
}

// partsOf returns the parts of a prompt that are recorded.
func partsOf(pool model.PoolID, shared []model.Part) []model.PromptPart {
	var out []model.PromptPart
	for _, part := range shared[:min(len(shared), maxParts)] {
		out = append(out, model.PromptPart{Pool: pool, ID: part.ID})
	}
	return out
}

// RecordPartEnds records an end that this router has observed against the parts of a prompt that other prompts may
// share.
func (b *Tracker) RecordPartEnds(now model.Time, pool model.PoolID, shared []model.Part, account model.AccountID, end End) {
	b.recordEnd(end)
	b.markChanged()
	if end.Ran < minRun {
		return
	}
	for _, part := range partsOf(pool, shared) {
		b.recordPartEnd(now, part, account, end)
	}
	b.prune(now)
}

func (b *Tracker) recordPartEnd(now model.Time, part model.PromptPart, account model.AccountID, end End) {
	f := part.Fingerprint()
	if b.entries[f] == nil && b.isExonerated(f, end) {
		return
	}
	e := b.partEntry(f, part, account)
	end.Try = e.Tried > e.Answered && end.sent() >= e.Tried
	if e.add(end) {
		e.observed = true
		b.scheduleSend(now, e)
	}
}

// isExonerated reports whether this router had a complete answer to a prompt with the part shortly before an end.
func (b *Tracker) isExonerated(f model.Fingerprint, end End) bool {
	at, answered := b.answered[f]
	return answered && end.At <= at+answeredGrace
}

// partEntry returns the entry of a part, a new one if there is none.
func (b *Tracker) partEntry(f model.Fingerprint, part model.PromptPart, account model.AccountID) *entry {
	if e := b.entries[f]; e != nil {
		return e
	}
	e := b.entry(f, account)
	e.Part = part
	if at, answered := b.answered[f]; answered {
		e.Answered = at
	}
	return e
}

// RecordPartAnswers records that a prompt with the given parts got a complete answer.
func (b *Tracker) RecordPartAnswers(now model.Time, pool model.PoolID, shared []model.Part) {
	for _, part := range partsOf(pool, shared) {
		f := part.Fingerprint()
		if _, stored := b.answered[f]; stored || len(b.answered) < maxAnswered {
			b.answered[f] = now
		}
		if e := b.entries[f]; e != nil {
			b.exonerate(now, e)
		}
	}
	b.prune(now)
}

// exonerate records a complete answer to a prompt with a part that has an entry. The other routers are told if ends
// were counted that might hold the part back there.
func (b *Tracker) exonerate(now model.Time, e *entry) {
	tell := e.inDigest()
	counted := e.suspected()
	e.Answered = now
	if !counted {
		return
	}
	e.observed = true
	b.markChanged()
	if tell {
		b.scheduleSend(now+b.spread(e.Fingerprint), e)
	}
}

// mergePart compares what another router knows of the answers to a part: if it counts ends that are known here not to
// count, it is told so, unless a third router does.
func (b *Tracker) mergePart(now model.Time, e *entry, in Suspicion) {
	if !e.suspected() && in.Answered >= e.Answered-answeredGrace/2 {
		e.sendsLeft = 0
	}
	if e.sendsLeft == 0 && countedAfter(in.Answered, in.Ends) > 1 && countedAfter(e.Answered, in.Ends) < 2 {
		b.scheduleSend(now+b.spread(in.Fingerprint), e)
	}
}

// countedAfter returns how many ends count against a part that last got a complete answer at a time.
func countedAfter(answered model.Time, ends []End) int {
	counted := 0
	for _, end := range ends {
		if end.At > answered+answeredGrace {
			counted++
		}
	}
	return counted
}

// pruneParts deletes the answers that no longer exonerate, and the entries of parts that tell nothing any more.
func (b *Tracker) pruneParts(now model.Time) {
	maps.DeleteFunc(b.entries, func(f model.Fingerprint, e *entry) bool {
		if !e.isOver() {
			return false
		}
		if at, stored := b.answered[f]; e.Answered > Never && (!stored || at < e.Answered) {
			b.answered[f] = e.Answered
		}
		return true
	})
	maps.DeleteFunc(b.answered, func(_ model.Fingerprint, at model.Time) bool { return now-at > answeredGrace })
}

// spread returns a fraction of answerSpread that differs between routers.
func (b *Tracker) spread(f model.Fingerprint) time.Duration {
	return time.Duration(float64(answerSpread) * b.fraction(f))
}

// partPoints returns the weight of the ends that count against a part.
func (b *Tracker) partPoints(e *entry, others map[model.Fingerprint]bool) int {
	ends := slices.Clone(e.countedEnds())
	slices.SortFunc(ends, func(x, y End) int { return cmp.Compare(x.At, y.At) })
	sum, cluster := 0, 0
	var began model.Time
	for i, end := range ends {
		if i == 0 || end.At > began+correlatedWithin {
			began, cluster = end.At, 0
		}
		counted := min(b.points(e, end, others), maxClusterPoints-cluster)
		cluster += counted
		sum += counted
	}
	return sum
}

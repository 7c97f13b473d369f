package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Kind is a kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	Shared    int // tokens of the part that requests about one thing share
	Things    int
	Own       int // tokens of the request's own part, in the mean
	Spread    float64
	Output    int // tokens of the answer, in the mean
	Objective time.Duration
	Pause     time.Duration // the longest between two events in time
	Deadline  time.Duration
	Worth     float64
}

// Load is what the callers send.
type Load struct {
	Kinds    []Kind
	Accounts int
	Skew     float64 // of the accounts' sizes
	// Factor is how much more than usual is sent, and Hot the accounts, from the
	// largest, that send HotFactor times their usual from a third of the time to
	// two thirds.
	Factor    float64
	Hot       int
	HotFactor float64
	// HotAtOnce lets the hot accounts send so much from the beginning to the end.
	HotAtOnce bool
	// Turns are groups of accounts that send HotFactor times their usual by turns, each group for TurnFor.
	Turns   [][]int
	TurnFor time.Duration
	// AtOneRouter are the accounts all of whose callers reach one router, each its own;
	// the others' callers reach any.
	AtOneRouter []int
	// Retries is how often a caller that was refused comes back.
	Retries int
}

// DefaultLoad is the model requests that the league sends on a calm day.
var DefaultLoad = Load{
	Kinds: []Kind{
		{"review", 24.3, 13_300, 55, 3720, 1.1, 120, 800 * time.Millisecond, 400 * time.Millisecond, 12 * time.Second, 3.1},
		{"appraisal", 10.3, 6300, 53, 2890, 1, 51, 800 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2.6},
		{"chat", 31.5, 350, 72, 1110, 1, 171, 600 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, 0.33},
	},
	Accounts: 16, Skew: 1.8, Factor: 1, HotFactor: 7, Retries: 1,
}

// call is a request of a caller, over all its tries.
type call struct {
	kind    int
	account int
	prompt  model.Prompt
	output  int
	sent    model.Time
	tries   int
	first   time.Duration // until the answer began, 0 for never
	broken  bool          // a pause was too long
	done    bool
	run     *run
	at      *engine
}

// source draws what the callers send.
type source struct {
	load   Load
	random *rand.Rand
	sizes  []float64 // part of the load of each account, adding up to 1
	nextID uint64
}

func newSource(load Load, random *rand.Rand) *source {
	s := &source{load: load, random: random}
	sum := 0.0
	for i := range load.Accounts {
		size := math.Pow(float64(i+1), -load.Skew/2)
		s.sizes = append(s.sizes, size)
		sum += size
	}
	for i := range s.sizes {
		s.sizes[i] /= sum
	}
	return s
}

// routerOf returns the router that a caller of an account reaches, of n.
func (l *Load) routerOf(account, n int, random *rand.Rand) int {
	if i := slices.Index(l.AtOneRouter, account); i >= 0 {
		return i % n
	}
	return random.IntN(n)
}

// isHot tells whether an account sends HotFactor times its usual so far into an experiment of some length.
func (l *Load) isHot(account int, into, length time.Duration) bool {
	if len(l.Turns) > 0 {
		turn := max(int(into/l.TurnFor), 0) % len(l.Turns)
		return slices.Contains(l.Turns[turn], account)
	}
	third := length / 3
	return account < l.Hot && (l.HotAtOnce || into > third && into < 2*third)
}

// gap returns the time until the next request of a kind from an account.
func (s *source) gap(kind, account int, hot bool) time.Duration {
	rate := s.load.Kinds[kind].PerSecond * s.load.Factor * s.sizes[account]
	if hot {
		rate *= s.load.HotFactor
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// logNormal draws a value with the given mean.
func (s *source) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*s.random.NormFloat64()-spread*spread/2)
}

const (
	outputSpread = 0.9
	// maxOwn bounds a request's own part, in means.
	maxOwn = 14
)

// draw returns a request.
func (s *source) draw(kind, account int, now model.Time) *call {
	k := s.load.Kinds[kind]
	s.nextID++
	own := int(min(s.logNormal(float64(k.Own), k.Spread), maxOwn*float64(k.Own))) + 1
	thing := s.random.IntN(k.Things)
	shared := model.Part{ID: uint64(kind+1)<<40 | uint64(thing), Tokens: k.Shared}
	c := &call{kind: kind, account: account, sent: now, output: int(s.logNormal(float64(k.Output), outputSpread)) + 1}
	c.prompt = model.Prompt{
		Tokens: k.Shared + own, MaxOutput: 4 * c.output,
		Parts: []model.Part{shared, {ID: 1<<60 | s.nextID, Tokens: own}},
	}
	c.prompt.Hint = int(s.logNormal(float64(c.output), outputSpread/2)) + 1
	return c
}

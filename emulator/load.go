package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Kind describes a kind of request.
type Kind struct {
	Name           string
	PerSecond      float64
	SharedTokens   int // length of the prefix that several requests have in common
	SharedPrefixes int
	OwnTokens      int // mean length of the part specific to the request
	OwnSigma       float64
	OutputTokens   int // mean length of the answer
	Objective      time.Duration
	MaxPause       time.Duration // longest pause between two events that meets the objective
	Deadline       time.Duration
	Worth          float64
}

// Load describes the requests of the callers.
type Load struct {
	Kinds    []Kind
	Accounts int
	Skew     float64 // of the accounts' sizes
	// Factor multiplies the normal load. HotAccounts is the number of accounts, from the largest, that send HotFactor
	// times their normal load during the middle third of the run.
	Factor      float64
	HotAccounts int
	HotFactor   float64
	// AlwaysHot extends the raised load of the hot accounts to the whole run.
	AlwaysHot bool
	// HotGroups are groups of accounts that send HotFactor times their normal load in rotation, each group for
	// HotGroupPeriod.
	HotGroups      [][]int
	HotGroupPeriod time.Duration
	// SingleRouterAccounts are accounts whose callers all connect to one router, a different one for each account;
	// callers of other accounts connect to any router.
	SingleRouterAccounts []int
	// Retries is the maximum number of retries of a refused request.
	Retries int
}

// DefaultLoad is the mix of model requests under normal load.
var DefaultLoad = Load{
	Kinds: []Kind{
		{"review", 24.3, 13_300, 55, 3720, 1.1, 120, 800 * time.Millisecond, 400 * time.Millisecond, 12 * time.Second, 3.1},
		{"appraisal", 10.3, 6300, 53, 2890, 1, 51, 800 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2.6},
		{"chat", 31.5, 350, 72, 1110, 1, 171, 600 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, 0.33},
	},
	Accounts: 16, Skew: 1.8, Factor: 1, HotFactor: 7, Retries: 1,
}

// call is a caller's request, including all its attempts.
type call struct {
	kind       int
	account    int
	prompt     model.Prompt
	output     int
	sentAt     model.Time
	attempts   int
	firstToken time.Duration // time from the first attempt to the first token, 0 if none was received
	stalled    bool          // a pause exceeded MaxPause
	done       bool
	execution  *execution
	engine     *engine
}

// generator draws random requests.
type generator struct {
	load   Load
	random *rand.Rand
	shares []float64 // fraction of the load of each account; the sum is 1
	nextID uint64
}

func newGenerator(load Load, random *rand.Rand) *generator {
	g := &generator{load: load, random: random}
	sum := 0.0
	for i := range load.Accounts {
		share := math.Pow(float64(i+1), -load.Skew/2)
		g.shares = append(g.shares, share)
		sum += share
	}
	for i := range g.shares {
		g.shares[i] /= sum
	}
	return g
}

// routerOf returns the index of the router, of n, that a caller of an account connects to.
func (l *Load) routerOf(account, n int, random *rand.Rand) int {
	if i := slices.Index(l.SingleRouterAccounts, account); i >= 0 {
		return i % n
	}
	return random.IntN(n)
}

// isHot reports whether an account sends HotFactor times its normal load at a time after the start of a run.
func (l *Load) isHot(account int, elapsed, length time.Duration) bool {
	if len(l.HotGroups) > 0 {
		group := max(int(elapsed/l.HotGroupPeriod), 0) % len(l.HotGroups)
		return slices.Contains(l.HotGroups[group], account)
	}
	third := length / 3
	return account < l.HotAccounts && (l.AlwaysHot || elapsed > third && elapsed < 2*third)
}

// interArrival returns the time until an account's next request of a kind.
func (g *generator) interArrival(kind, account int, hot bool) time.Duration {
	rate := g.load.Kinds[kind].PerSecond * g.load.Factor * g.shares[account]
	if hot {
		rate *= g.load.HotFactor
	}
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// logNormal draws a value from a log-normal distribution with the given mean.
func (g *generator) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
}

const (
	outputSigma = 0.9
	// maxOwnFactor limits the length of a request's own part, as a multiple of its mean.
	maxOwnFactor = 14
)

// draw returns a random request.
func (g *generator) draw(kind, account int, now model.Time) *call {
	k := g.load.Kinds[kind]
	g.nextID++
	own := int(min(g.logNormal(float64(k.OwnTokens), k.OwnSigma), maxOwnFactor*float64(k.OwnTokens))) + 1
	prefix := g.random.IntN(k.SharedPrefixes)
	shared := model.Part{ID: uint64(kind+1)<<40 | uint64(prefix), Tokens: k.SharedTokens}
	c := &call{kind: kind, account: account, sentAt: now, output: int(g.logNormal(float64(k.OutputTokens), outputSigma)) + 1}
	c.prompt = model.Prompt{
		Tokens: k.SharedTokens + own, MaxOutput: 4 * c.output,
		Parts: []model.Part{shared, {ID: 1<<60 | g.nextID, Tokens: own}},
	}
	c.prompt.Hint = int(g.logNormal(float64(c.output), outputSigma/2)) + 1
	return c
}

package admission

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// turns is about how often a router's process has its turn for one request until the first part of its answer is passed on: to
	// take it, to decide, to connect, to write, to read the answer's head and its first part. As each turn comes late, so
	// does the answer, that many times over.
	turns = 8
	// latePart is the part of a request's objective that the router's turns may take of it together. A caller who is refused within a
	// quarter can still be served in time when it returns; one whose answer is late by as much mostly isn't.
	latePart = 0.25
	// carryEvery is how often the bound moves: a few times in the time that a stream takes.
	carryEvery = 100 * time.Millisecond
	// carryCut is what is left of the bound where turns come late, and carryGrowth how much it grows by where they don't.
	carryCut    = 0.9
	carryGrowth = 1.1
	// leastCarried is how many streams a whole core carries at the least: a stream takes about a millisecond of it in each second, so
	// that these take a tenth, and turns that come late while no more are carried aren't late for them. A router that
	// has just started is late for seconds, whatever it carries.
	leastCarried = 100
	// carryOpenAfter is how long no turn must be late, and less be carried than may be, for there to be no bound any more.
	carryOpenAfter = 2 * time.Second
)

// carry bounds how many streams a router carries at once, by how late its turns come. It says what the gate's window can't: requests
// may be decided on at once and their answers passed on late.
type carry struct {
	least    float64 // streams that are carried in any case
	limit    float64
	moved    model.Time
	bound    model.Time // when turns last came late, or as many were carried as may be
	carried  int
	accounts map[model.AccountID]int // that have any carried
}

// newCarry returns the bound of a router that has a part of a core, 0 for as many as it needs.
func newCarry(processor float64) carry {
	if processor <= 0 {
		processor = 1
	}
	return carry{least: max(leastCarried*processor, 1), limit: math.Inf(1), accounts: map[model.AccountID]int{}}
}

// allows tells whether another stream of an account may be carried: of any account while less is carried than may be, and beyond that of
// one that has less than an even part.
func (c *carry) allows(account model.AccountID) bool {
	if float64(c.carried) < c.limit {
		return true
	}
	own := c.accounts[account]
	sharing := len(c.accounts)
	if own == 0 {
		sharing++
	}
	return float64(own) < max(c.limit/float64(sharing), 1)
}

// most returns how many streams may be carried, 0 for any number.
func (c *carry) most() int {
	if math.IsInf(c.limit, 1) {
		return 0
	}
	return int(c.limit)
}

// add counts a stream that begins, or with -1 one that has ended.
func (c *carry) add(account model.AccountID, n int) {
	c.carried += n
	c.accounts[account] += n
	if c.accounts[account] == 0 {
		delete(c.accounts, account)
	}
}

// move moves the bound by how late turns come, as a request with an objective comes.
func (c *carry) move(now model.Time, late, objective time.Duration) {
	if objective <= 0 || now < c.moved+carryEvery {
		return
	}
	c.moved = now
	isLate := float64(late)*turns > latePart*float64(objective)
	switch {
	case isLate:
		c.bound = now
		c.limit = max(carryCut*min(c.limit, float64(c.carried)), c.least)
	case math.IsInf(c.limit, 1):
	case float64(c.carried) >= carryCut*c.limit:
		c.bound = now
		c.limit *= carryGrowth
	case now > c.bound+carryOpenAfter:
		c.limit = math.Inf(1)
	}
}

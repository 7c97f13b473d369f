package gateway

import (
	"sync"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
)

// pending counts the requests of each account that wait for a decision, and keeps the
// last one that was made.
type pending struct {
	mu       sync.Mutex
	accounts map[model.AccountID]*accountPending
}

type accountPending struct {
	waiting int
	last    scheduler.Decision
	crowded occasional // refusals by the header
}

// add counts requests that begin to wait, or with a negative number end to.
func (p *pending) add(account model.AccountID, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(account).waiting += n
}

// decided notes the last decision on a request of an account.
func (p *pending) decided(account model.AccountID, d scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(account).last = d
}

// crowd counts a request of an account that is refused by its header, and returns how
// many there are to write a line for, 0 for none now.
func (p *pending) crowd(account model.AccountID) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(account).crowded.due()
}

// of returns how many requests of an account wait, and the last decision on one.
func (p *pending) of(account model.AccountID) (waiting int, last scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(account)
	return a.waiting, a.last
}

func (p *pending) account(account model.AccountID) *accountPending {
	a := p.accounts[account]
	if a == nil {
		if p.accounts == nil {
			p.accounts = map[model.AccountID]*accountPending{}
		}
		a = &accountPending{crowded: occasional{began: time.Now()}}
		p.accounts[account] = a
	}
	return a
}

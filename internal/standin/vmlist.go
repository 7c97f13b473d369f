package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/vmlist"
)

// VMList stands in for the platform's list of VMs. Changes become visible after a delay.
type VMList struct {
	faultInjector

	delay time.Duration
	mu    sync.Mutex
	vms   []vmlist.VM
}

// NewVMList returns an empty list whose changes become visible after delay.
func NewVMList(delay time.Duration) *VMList {
	return &VMList{delay: delay}
}

// Set replaces the list after the delay.
func (l *VMList) Set(vms []vmlist.VM) {
	time.AfterFunc(l.delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	})
}

// Handle handles a request: GET /vms reads the list, POST /vms replaces it.
func (l *VMList) Handle(ctx *fasthttp.RequestCtx) {
	if l.handleFaults(ctx) {
		return
	}
	faults := l.currentFaults()
	if faults.Unavailable {
		dropConnection(ctx)
		return
	}
	applyDelay(faults)
	if ctx.IsPost() {
		l.post(ctx)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(ctx, map[string]any{"vms": l.vms})
}

func (l *VMList) post(ctx *fasthttp.RequestCtx) {
	var in struct {
		VMs []vmlist.VM `json:"vms"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.Set(in.VMs)
}

// Package vmlist reads the list of live and leaving VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
	// maxAnswer is the size of the largest list taken, in bytes.
	maxAnswer = 2 << 20
)

// Unavailable is the error for a list that can't be read.
var Unavailable = errorx.NewNamespace("vmlist").NewType("unavailable")

// The roles and states of a VM.
const (
	RoleRouter   = "router"
	RoleBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name     string `json:"name"`
	Address  string `json:"address"` // IP and port
	DataHall string `json:"data_hall"`
	Role     string `json:"role"`
	State    string `json:"state"`
	// Processor is a router's part of a core, 0 where it isn't told.
	Processor float64 `json:"processor,omitempty"`
}

// List is the platform's lagging list of live and leaving VMs.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}

// HTTP reads the list as JSON from GET /vms.
type HTTP struct {
	client *exchange.Client
}

// NewHTTP returns the adapter for a service at an IP and port.
func NewHTTP(address string) *HTTP {
	return &HTTP{client: exchange.NewClient(address, dialTimeout)}
}

// Close closes the connections that are kept.
func (l *HTTP) Close() { l.client.Close() }

// VMs implements List.
func (l *HTTP) VMs(ctx context.Context) ([]VM, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/vms")
	req.Header.SetHost("vmlist")
	answer, err := l.client.Do(ctx, req, exchange.Options{Patient: callTimeout})
	if err != nil {
		return nil, Unavailable.Wrap(err, "the VM list doesn't answer")
	}
	defer answer.Close()
	var out struct {
		VMs []VM `json:"vms"`
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil {
		return nil, Unavailable.Wrap(err, "the VM list breaks off")
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		return nil, Unavailable.New("the VM list answers with status %d", answer.StatusCode())
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, Unavailable.Wrap(err, "the VM list is garbled")
	}
	return out.VMs, nil
}

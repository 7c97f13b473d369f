// Package vmlist reads the platform's list of live and leaving VMs.
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
	// callLimit is the time limit of a whole call, however its bytes arrive.
	callLimit = 3 * callTimeout
	// maxResponse is the maximum size of the list, in bytes.
	maxResponse = 2 << 20
)

// Unavailable is the error for a list that could not be read.
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
	// Processor is the share of a processor core that a router has, 0 if it is unknown.
	Processor float64 `json:"processor,omitempty"`
}

// List is the platform's list of live and leaving VMs. It lags behind their actual state.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}

// HTTP reads the list with GET /vms, which returns JSON.
type HTTP struct {
	client *exchange.Client
}

// NewHTTP returns a reader of the list at address, an IP and port.
func NewHTTP(address string) *HTTP {
	return &HTTP{client: exchange.NewClient(address, dialTimeout)}
}

// Close closes the idle connections.
func (l *HTTP) Close() { l.client.Close() }

// VMs implements List.
func (l *HTTP) VMs(ctx context.Context) ([]VM, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/vms")
	req.Header.SetHost("vmlist")
	response, err := l.client.Do(ctx, req, exchange.Options{Timeout: callTimeout, Within: callLimit, MaxBody: maxResponse})
	if err != nil {
		return nil, Unavailable.Wrap(err, "no response to the request for the VM list")
	}
	defer response.Close()
	var out struct {
		VMs []VM `json:"vms"`
	}
	body, err := io.ReadAll(response)
	if err != nil {
		return nil, Unavailable.Wrap(err, "reading the VM list")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, Unavailable.New("the request for the VM list returned status %d", response.StatusCode())
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, Unavailable.Wrap(err, "the VM list is not valid JSON")
	}
	return out.VMs, nil
}

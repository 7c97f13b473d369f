package fleet

import (
	"context"
	"io"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	prommodel "github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
)

// LoadsName is the name that the service is found by.
const LoadsName = "loads"

const (
	loadEvery   = 500 * time.Millisecond
	loadTimeout = 400 * time.Millisecond
	// failuresTaken is how many reports in a row must fail for a backend
	// server to get nothing new.
	failuresTaken = 2
	maxMetrics    = 1 << 20
)

// The gauges of a model engine's load.
const (
	runningGauge = "vllm:num_requests_running"
	waitingGauge = "vllm:num_requests_waiting"
)

// Loads asks the backend servers that this router owns how they are.
type Loads struct {
	inForce   func() *config.InForce
	scheduler *scheduler.Service

	mu       sync.Mutex
	watched  []model.BackendID
	clients  *exchange.Clients
	failures map[model.BackendID]int

	cancel context.CancelFunc
	ended  chan struct{}
}

// NewLoads returns the service; inForce gives the configuration in force.
func NewLoads(inForce func() *config.InForce) *Loads {
	return &Loads{
		inForce: inForce, clients: exchange.NewClients(loadTimeout),
		failures: map[model.BackendID]int{}, ended: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (l *Loads) Name() string { return LoadsName }

// Needs implements kernel.Service.
func (l *Loads) Needs() []string { return []string{scheduler.ServiceName} }

// Start implements kernel.Service.
func (l *Loads) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if l.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	l.scheduler.Observe(scheduler.Observer{Loads: l.watch})
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go l.follow(run)
	return nil
}

// Stop implements kernel.Service.
func (l *Loads) Stop(context.Context) error {
	l.cancel()
	<-l.ended
	l.clients.Close()
	return nil
}

// watch takes the backend servers to ask.
func (l *Loads) watch(backends []model.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched = backends
}

func (l *Loads) follow(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	for {
		l.askAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Loads) askAll(ctx context.Context) {
	l.mu.Lock()
	watched := l.watched
	l.mu.Unlock()
	c := l.inForce()
	if c == nil {
		return
	}
	var asking sync.WaitGroup
	for _, id := range watched {
		backend, ok := c.Core.Backends[id]
		if !ok {
			continue
		}
		client := l.clients.Of(c.AddressOf(id))
		asking.Go(func() {
			load := ask(ctx, client, c.Core.Pools[backend.Pool].FollowLoad)
			l.report(ctx, id, load)
		})
	}
	asking.Wait()
}

func (l *Loads) report(ctx context.Context, id model.BackendID, load core.Load) {
	if ctx.Err() != nil {
		return
	}
	load.Backend = id
	l.mu.Lock()
	if load.Failed {
		l.failures[id]++
	} else {
		l.failures[id] = 0
	}
	few := load.Failed && l.failures[id] < failuresTaken
	l.mu.Unlock()
	if !few {
		l.scheduler.Tell(load)
	}
}

// ask reads a backend server's health and, from an engine, its load.
func ask(ctx context.Context, client *exchange.Client, engine bool) core.Load {
	status, _, err := get(ctx, client, "/health")
	if err != nil {
		return core.Load{Failed: true}
	}
	load := core.Load{Leaving: status == fasthttp.StatusServiceUnavailable}
	if !engine {
		return load
	}
	status, families, err := get(ctx, client, "/metrics")
	if err != nil || status != fasthttp.StatusOK {
		return core.Load{Failed: true}
	}
	load.Running = gauge(families, runningGauge)
	load.Waiting = gauge(families, waitingGauge)
	return load
}

func get(ctx context.Context, client *exchange.Client, path string) (int, map[string]*dto.MetricFamily, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost("backend")
	answer, err := client.Do(ctx, req, exchange.Options{Patient: loadTimeout})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body := io.LimitReader(answer, maxMetrics)
	if path != "/metrics" {
		_, err := io.Copy(io.Discard, body)
		return answer.StatusCode(), nil, err
	}
	parser := expfmt.NewTextParser(prommodel.UTF8Validation)
	families, err := parser.TextToMetricFamilies(body)
	return answer.StatusCode(), families, err
}

// gauge sums a gauge over its labels.
func gauge(families map[string]*dto.MetricFamily, name string) int {
	sum := 0.0
	for _, m := range families[name].GetMetric() {
		sum += m.GetGauge().GetValue()
	}
	return int(sum)
}

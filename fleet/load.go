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

// LoadsName is the name under which the load service is registered.
const LoadsName = "loads"

const (
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
	// pollLimit is the time limit of a whole poll of one path, however its bytes arrive: the next round begins when all
	// backend servers have been polled.
	pollLimit = 2 * loadTimeout
	// failureThreshold is how many polls in a row must fail before a failure is
	// reported and the backend server gets no new requests.
	failureThreshold = 2
	// maxMetrics is the maximum size of a response that is read, in bytes.
	maxMetrics = 1 << 20
)

// The load metrics of a model engine.
const (
	runningGauge = "vllm:num_requests_running"
	waitingGauge = "vllm:num_requests_waiting"
)

// Loads polls the health and load of the backend servers that this router owns.
type Loads struct {
	inForce   func() *config.Compiled
	scheduler *scheduler.Service

	mu       sync.Mutex
	backends []model.BackendID
	clients  *exchange.Clients
	failures map[model.BackendID]int

	cancel context.CancelFunc
	ended  chan struct{}
}

// NewLoads returns the service. inForce returns the configuration in force, nil if there is none yet.
func NewLoads(inForce func() *config.Compiled) *Loads {
	return &Loads{
		inForce: inForce, clients: exchange.NewClients(loadTimeout),
		failures: map[model.BackendID]int{}, ended: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (l *Loads) Name() string { return LoadsName }

// Dependencies implements kernel.Service.
func (l *Loads) Dependencies() []string { return []string{scheduler.ServiceName} }

// Start implements kernel.Service.
func (l *Loads) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if l.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	l.scheduler.Observe(scheduler.Observer{PollLoads: l.setBackends})
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go l.run(runCtx)
	return nil
}

// Stop implements kernel.Service.
func (l *Loads) Stop(context.Context) error {
	l.cancel()
	<-l.ended
	l.clients.Close()
	return nil
}

// setBackends sets the backend servers to poll.
func (l *Loads) setBackends(backends []model.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backends = backends
}

func (l *Loads) run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		l.pollAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Loads) pollAll(ctx context.Context) {
	l.mu.Lock()
	backends := l.backends
	l.mu.Unlock()
	c := l.inForce()
	if c == nil {
		return
	}
	var polls sync.WaitGroup
	for _, id := range backends {
		backend, ok := c.Core.Backends[id]
		if !ok {
			continue
		}
		client := l.clients.For(c.AddressOf(id))
		polls.Go(func() {
			load := pollBackend(ctx, client, c.Core.Pools[backend.Pool].FollowLoad)
			l.report(ctx, id, load)
		})
	}
	polls.Wait()
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
	belowThreshold := load.Failed && l.failures[id] < failureThreshold
	l.mu.Unlock()
	if !belowThreshold {
		l.scheduler.Enqueue(load)
	}
}

// pollBackend reads a backend server's health and, if it is an engine, its load.
func pollBackend(ctx context.Context, client *exchange.Client, engine bool) core.Load {
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
	load.Running = sumGauge(families, runningGauge)
	load.Waiting = sumGauge(families, waitingGauge)
	return load
}

func get(ctx context.Context, client *exchange.Client, path string) (int, map[string]*dto.MetricFamily, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost("backend")
	response, err := client.Do(ctx, req, exchange.Options{Timeout: loadTimeout, Within: pollLimit})
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	body := io.LimitReader(response, maxMetrics)
	if path != "/metrics" {
		_, err := io.Copy(io.Discard, body)
		return response.StatusCode(), nil, err
	}
	parser := expfmt.NewTextParser(prommodel.UTF8Validation)
	families, err := parser.TextToMetricFamilies(body)
	return response.StatusCode(), families, err
}

// sumGauge returns the sum of a gauge over all labels.
func sumGauge(families map[string]*dto.MetricFamily, name string) int {
	sum := 0.0
	for _, m := range families[name].GetMetric() {
		sum += m.GetGauge().GetValue()
	}
	return int(sum)
}

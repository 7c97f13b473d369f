// Package admin serves the operators: the administration API, health and
// counters, on a listener of their own. Any router answers for the fleet.
package admin

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check/checks"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/policies"
	"github.com/tamarindstep/tamarindstep/status"
	"github.com/tamarindstep/tamarindstep/store"
)

// ServiceName is the name that the service is found by.
const ServiceName = "admin"

const (
	idleTimeout = time.Minute
	readTimeout = 30 * time.Second
	// writeStall is how long an operator's client may take nothing of its answer.
	writeStall = 10 * time.Second
)

// The headers of the API.
const (
	GenerationHeader = "Tamarindstep-Generation"
	BaseHeader       = "Tamarindstep-Base"     // the generation an apply builds on
	ApplyHeader      = "Tamarindstep-Apply-Id" // the same for each try of an apply
	FileHeader       = "Tamarindstep-File"     // the name to report findings under
)

// The codes of errors.
const (
	CodeUnauthorized = "unauthorized"
	CodeBadRequest   = "bad-request"
	CodeInvalid      = "invalid"
	CodeConflict     = "generation-conflict"
	CodeUnavailable  = "store-unavailable"
	CodeUnknown      = "apply-unknown"
	CodeNothing      = "no-configuration"
	CodeNoRouter     = "no-such-router"
)

// Error is the body of an answer that isn't what was asked for.
type Error struct {
	Code     string       `json:"code"`
	Message  string       `json:"message"`
	Findings finding.List `json:"findings,omitempty"`
}

// Applied is the body of the answer to an apply.
type Applied struct {
	Generation uint64       `json:"generation"`
	Findings   finding.List `json:"findings"`
}

// Compared is the body of the answer to a comparison.
type Compared struct {
	Generation uint64          `json:"generation"`
	Changes    []config.Change `json:"changes"`
}

// Policy is one entry of the list of policies.
type Policy struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Text    string `json:"text"`
	Since   string `json:"since"`
	InForce bool   `json:"in_force"`
}

// Service serves the operators.
type Service struct {
	listen   string
	token    string
	registry *prometheus.Registry
	drained  func() bool
	profiles bool

	status *status.Service
	gens   *generation.Service

	server   *fasthttp.Server
	listener net.Listener
	ended    chan struct{}
}

// New returns the service; drained tells whether the router is stopping.
func New(listen, token string, registry *prometheus.Registry, drained func() bool) *Service {
	return &Service{listen: listen, token: token, registry: registry, drained: drained, ended: make(chan struct{})}
}

// ServeProfiles lets the service give out profiles of this process below /debug/pprof/, to
// whoever has the operators' token or, where none is set, to all who reach the listener. It
// must be called before the start.
func (s *Service) ServeProfiles() { s.profiles = true }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{status.ServiceName, generation.ServiceName} }

// serverOf returns a server whose requests, the first of a connection too, come within a time.
func serverOf(handler fasthttp.RequestHandler, within time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "tamarindstep", NoDefaultServerHeader: true,
		MaxRequestBodySize: config.MaxSize, CloseOnShutdown: true, IdleTimeout: idleTimeout, ReadTimeout: within,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.status, err = kernel.Lookup[*status.Service](k, status.ServiceName); err != nil {
		return err
	}
	if s.gens, err = kernel.Lookup[*generation.Service](k, generation.ServiceName); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp", s.listen); err != nil {
		return err
	}
	s.server = serverOf(s.routes().Handler, readTimeout)
	go func() {
		defer close(s.ended)
		_ = s.server.Serve(stall.Listener{Listener: socket.Patient{Listener: s.listener}, Patience: writeStall})
	}()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.ShutdownWithContext(ctx)
	<-s.ended
	return err
}

func (s *Service) routes() *router.Router {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", s.ready)
	r.GET("/metrics", s.metrics)
	if s.profiles {
		r.GET("/debug/pprof/{profile:*}", s.guardProfiles(pprofhandler.PprofHandler))
	}
	r.GET("/admin/v1/configuration", s.guard(s.get))
	r.PUT("/admin/v1/configuration", s.guard(s.apply))
	r.POST("/admin/v1/validate", s.guard(s.validate))
	r.POST("/admin/v1/diff", s.guard(s.diff))
	r.GET("/admin/v1/status", s.guard(s.showStatus))
	r.GET("/admin/v1/policies", s.guard(s.policies))
	r.POST("/admin/v1/drain/{router}", s.guard(s.drain))
	r.POST("/admin/v1/release/{request}", s.guard(s.release))
	return r
}

func (s *Service) ready(ctx *fasthttp.RequestCtx) {
	switch {
	case s.drained():
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	case !s.gens.Ready():
		ctx.Error("no configuration that is known to be recent\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (s *Service) metrics(ctx *fasthttp.RequestCtx) {
	families, err := s.registry.Gather()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	ctx.SetContentType(string(format))
	encoder := expfmt.NewEncoder(ctx, format)
	for _, f := range families {
		if encoder.Encode(f) != nil {
			return
		}
	}
}

// guard lets only those in who have the operators' token.
func (s *Service) guard(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		token, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
		if s.token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			fail(ctx, fasthttp.StatusUnauthorized, Error{Code: CodeUnauthorized, Message: "the operators' token is missing or wrong"})
			return
		}
		next(ctx)
	}
}

// guardProfiles is guard where there is a token.
func (s *Service) guardProfiles(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	if s.token == "" {
		return next
	}
	return s.guard(next)
}

func answer(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	e := json.NewEncoder(ctx)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func fail(ctx *fasthttp.RequestCtx, code int, e Error) {
	ctx.ResetBody()
	ctx.SetStatusCode(code)
	answer(ctx, e)
}

func (s *Service) get(ctx *fasthttp.RequestCtx) {
	d := s.gens.Document()
	if d == nil {
		fail(ctx, fasthttp.StatusNotFound, Error{Code: CodeNothing, Message: "no configuration is in force"})
		return
	}
	text, err := config.DocumentText(d)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, Error{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	ctx.Response.Header.Set(GenerationHeader, strconv.FormatUint(d.Generation, 10))
	ctx.SetContentType("application/yaml")
	ctx.SetBody(text)
}

func fileName(ctx *fasthttp.RequestCtx) string {
	if name := string(ctx.Request.Header.Peek(FileHeader)); name != "" {
		return name
	}
	return "configuration"
}

func (s *Service) validate(ctx *fasthttp.RequestCtx) {
	_, findings := checks.File(fileName(ctx), ctx.PostBody())
	if findings.Failed() {
		fail(ctx, fasthttp.StatusUnprocessableEntity, invalid(findings))
		return
	}
	answer(ctx, Applied{Generation: s.gens.Document().GetGeneration(), Findings: findings})
}

func invalid(findings finding.List) Error {
	return Error{Code: CodeInvalid, Message: "the file has errors; nothing was applied", Findings: findings}
}

func (s *Service) diff(ctx *fasthttp.RequestCtx) {
	f, findings := checks.File(fileName(ctx), ctx.PostBody())
	if findings.Failed() {
		fail(ctx, fasthttp.StatusUnprocessableEntity, invalid(findings))
		return
	}
	var before *config.File
	out := Compared{}
	if c := s.gens.InForce(); c != nil {
		before = c.File
		out.Generation = c.Generation
	}
	out.Changes = config.Diff(before, f)
	answer(ctx, out)
}

func (s *Service) apply(ctx *fasthttp.RequestCtx) {
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek(BaseHeader)), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, Error{Code: CodeBadRequest, Message: "the header " + BaseHeader + " must be a generation"})
		return
	}
	id := string(ctx.Request.Header.Peek(ApplyHeader))
	if id == "" {
		id = generation.NewApplyID()
	}
	_, findings := checks.File(fileName(ctx), ctx.PostBody())
	if findings.Failed() {
		fail(ctx, fasthttp.StatusUnprocessableEntity, invalid(findings))
		return
	}
	text := bytes.Clone(ctx.PostBody())
	g, err := s.gens.Apply(context.Background(), generation.Apply{ID: id, Base: base, Text: text})
	if err != nil {
		failApply(ctx, err)
		return
	}
	answer(ctx, Applied{Generation: g, Findings: findings})
}

func failApply(ctx *fasthttp.RequestCtx, err error) {
	var findings finding.List
	switch {
	case errors.As(err, &findings):
		fail(ctx, fasthttp.StatusUnprocessableEntity, invalid(findings))
	case errorx.IsOfType(err, generation.Conflict):
		fail(ctx, fasthttp.StatusConflict, Error{Code: CodeConflict, Message: err.Error()})
	case errorx.IsOfType(err, generation.Unknown):
		fail(ctx, fasthttp.StatusGatewayTimeout, Error{Code: CodeUnknown, Message: err.Error()})
	case errorx.IsOfType(err, store.Unavailable):
		fail(ctx, fasthttp.StatusServiceUnavailable, Error{Code: CodeUnavailable, Message: err.Error()})
	default:
		fail(ctx, fasthttp.StatusInternalServerError, Error{Code: CodeUnavailable, Message: err.Error()})
	}
}

func (s *Service) showStatus(ctx *fasthttp.RequestCtx) {
	answer(ctx, s.status.Gather(context.Background()))
}

func (s *Service) policies(ctx *fasthttp.RequestCtx) {
	inForce := policies.Default.Name
	if c := s.gens.InForce(); c != nil {
		inForce = c.Core.Policy.Name
	}
	answer(ctx, Policies(inForce))
}

// Policies lists the policies, and marks the one in force.
func Policies(inForce string) []Policy {
	var out []Policy
	for _, p := range policies.All {
		out = append(out, Policy{
			Name: p.Name, Title: p.Doc.Title, Text: p.Doc.Text, Since: p.Doc.Since, InForce: p.Name == inForce,
		})
	}
	return out
}

// release clears a request of what is held against it.
func (s *Service) release(ctx *fasthttp.RequestCtx) {
	text, _ := ctx.UserValue("request").(string)
	f, err := model.ParseFingerprint(text)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, Error{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	s.status.Release(f)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (s *Service) drain(ctx *fasthttp.RequestCtx) {
	name, _ := ctx.UserValue("router").(string)
	if err := s.status.DrainRouter(context.Background(), name); err != nil {
		fail(ctx, fasthttp.StatusNotFound, Error{Code: CodeNoRouter, Message: err.Error()})
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

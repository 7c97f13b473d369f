// Package admin serves the administration API, health checks and metrics for operators on a
// separate listener. Every router serves the API for the whole fleet.
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

// ServiceName is the name that the service is registered under.
const ServiceName = "admin"

const (
	idleTimeout = time.Minute
	readTimeout = 30 * time.Second
	// writeStall is the maximum time without progress in writing an answer to an operator's client.
	writeStall = 10 * time.Second
)

// The headers and query parameters of the API.
const (
	GenerationHeader = "Tamarindstep-Generation"
	BaseHeader       = "Tamarindstep-Base"     // the generation that an apply is based on
	ApplyHeader      = "Tamarindstep-Apply-Id" // the same for every attempt of an apply
	FileHeader       = "Tamarindstep-File"     // the file name used in findings
	// CurrentQuery is the query parameter that requests the configuration in the store instead of the one in force at
	// the router, which may not have received the last one yet.
	CurrentQuery = "current"
)

// The error codes.
const (
	CodeUnauthorized    = "unauthorized"
	CodeBadRequest      = "bad-request"
	CodeInvalid         = "invalid"
	CodeConflict        = "generation-conflict"
	CodeUnavailable     = "store-unavailable"
	CodeUnknown         = "apply-unknown"
	CodeNoConfiguration = "no-configuration"
	CodeNoRouter        = "no-such-router"
)

// Error is the body of an error response.
type Error struct {
	Code     string       `json:"code"`
	Message  string       `json:"message"`
	Findings finding.List `json:"findings,omitempty"`
}

// Applied is the body of the response to an apply or a validation.
type Applied struct {
	Generation uint64       `json:"generation"`
	Findings   finding.List `json:"findings"`
}

// DiffResult is the body of the response to a diff.
type DiffResult struct {
	Generation uint64          `json:"generation"`
	Changes    []config.Change `json:"changes"`
}

// Policy is an entry of the list of policies.
type Policy struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Text    string `json:"text"`
	Since   string `json:"since"`
	InForce bool   `json:"in_force"`
}

// Service serves the administration API.
type Service struct {
	listen   string
	token    string
	registry *prometheus.Registry
	draining func() bool
	profiles bool

	status      *status.Service
	generations *generation.Service

	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// New returns the service; draining reports whether the router is stopping.
func New(listen, token string, registry *prometheus.Registry, draining func() bool) *Service {
	return &Service{listen: listen, token: token, registry: registry, draining: draining, done: make(chan struct{})}
}

// ServeProfiles makes the service serve profiles of this process below /debug/pprof/. They require the
// operators' token if one is set, and are public otherwise. It must be called before Start.
func (s *Service) ServeProfiles() { s.profiles = true }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{status.ServiceName, generation.ServiceName}
}

// uselessBody is the maximum size in bytes of a body that no request needs.
const uselessBody = 4 << 10

// maxBody returns the maximum size in bytes of a request's body, which is held whole. Where no token is set, all requests
// that need one are refused.
func (s *Service) maxBody() int {
	if s.token == "" {
		return uselessBody
	}
	return config.MaxSize
}

// newServer returns a server with a timeout for reading a request, including the first one of a connection.
func newServer(handler fasthttp.RequestHandler, timeout time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "tamarindstep", NoDefaultServerHeader: true,
		MaxRequestBodySize: config.MaxSize, CloseOnShutdown: true, IdleTimeout: idleTimeout, ReadTimeout: timeout,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.status, err = kernel.Lookup[*status.Service](k, status.ServiceName); err != nil {
		return err
	}
	if s.generations, err = kernel.Lookup[*generation.Service](k, generation.ServiceName); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp", s.listen); err != nil {
		return err
	}
	s.server = newServer(s.routes().Handler, readTimeout)
	s.server.MaxRequestBodySize = s.maxBody()
	go func() {
		defer close(s.done)
		_ = s.server.Serve(stall.Listener{Listener: socket.RetryListener{Listener: s.listener}, WriteTimeout: writeStall})
	}()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.ShutdownWithContext(ctx)
	<-s.done
	return err
}

func (s *Service) routes() *router.Router {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", s.ready)
	r.GET("/metrics", s.metrics)
	if s.profiles {
		r.GET("/debug/pprof/{profile:*}", s.requireTokenIfSet(pprofhandler.PprofHandler))
	}
	r.GET("/admin/v1/configuration", s.requireToken(s.getConfiguration))
	r.PUT("/admin/v1/configuration", s.requireToken(s.apply))
	r.POST("/admin/v1/validate", s.requireToken(s.validate))
	r.POST("/admin/v1/diff", s.requireToken(s.diff))
	r.GET("/admin/v1/status", s.requireToken(s.showStatus))
	r.GET("/admin/v1/policies", s.requireToken(s.policies))
	r.POST("/admin/v1/drain/{router}", s.requireToken(s.drain))
	r.POST("/admin/v1/release/{request}", s.requireToken(s.release))
	return r
}

func (s *Service) ready(ctx *fasthttp.RequestCtx) {
	switch {
	case s.draining():
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	case !s.generations.Ready():
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

// requireToken returns a handler that rejects requests without the operators' token.
func (s *Service) requireToken(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		token, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
		if s.token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			writeError(ctx, fasthttp.StatusUnauthorized, Error{Code: CodeUnauthorized, Message: "the operators' token is missing or wrong"})
			return
		}
		next(ctx)
	}
}

// requireTokenIfSet is like requireToken, but accepts all requests if no token is set.
func (s *Service) requireTokenIfSet(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	if s.token == "" {
		return next
	}
	return s.requireToken(next)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	e := json.NewEncoder(ctx)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func writeError(ctx *fasthttp.RequestCtx, code int, e Error) {
	ctx.ResetBody()
	ctx.SetStatusCode(code)
	writeJSON(ctx, e)
}

func (s *Service) getConfiguration(ctx *fasthttp.RequestCtx) {
	d := s.generations.Document()
	if ctx.QueryArgs().Has(CurrentQuery) {
		var err error
		if d, err = s.generations.ReadCurrent(context.Background()); err != nil {
			writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: CodeUnavailable, Message: err.Error()})
			return
		}
	}
	if d == nil {
		writeError(ctx, fasthttp.StatusNotFound, Error{Code: CodeNoConfiguration, Message: "no configuration is in force"})
		return
	}
	text, err := config.DocumentText(d)
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, Error{Code: CodeUnavailable, Message: err.Error()})
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
		writeError(ctx, fasthttp.StatusUnprocessableEntity, invalidFile(findings))
		return
	}
	writeJSON(ctx, Applied{Generation: s.generations.Document().GetGeneration(), Findings: findings})
}

func invalidFile(findings finding.List) Error {
	return Error{Code: CodeInvalid, Message: "the file has errors; nothing was applied", Findings: findings}
}

func (s *Service) diff(ctx *fasthttp.RequestCtx) {
	f, findings := checks.File(fileName(ctx), ctx.PostBody())
	if findings.Failed() {
		writeError(ctx, fasthttp.StatusUnprocessableEntity, invalidFile(findings))
		return
	}
	var before *config.File
	out := DiffResult{}
	if c := s.generations.InForce(); c != nil {
		before = c.File
		out.Generation = c.Generation
	}
	out.Changes = config.Diff(before, f)
	writeJSON(ctx, out)
}

func (s *Service) apply(ctx *fasthttp.RequestCtx) {
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek(BaseHeader)), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: CodeBadRequest, Message: "the header " + BaseHeader + " must be a generation"})
		return
	}
	id := string(ctx.Request.Header.Peek(ApplyHeader))
	if id == "" {
		id = generation.NewApplyID()
	}
	_, findings := checks.File(fileName(ctx), ctx.PostBody())
	if findings.Failed() {
		writeError(ctx, fasthttp.StatusUnprocessableEntity, invalidFile(findings))
		return
	}
	text := bytes.Clone(ctx.PostBody())
	g, err := s.generations.Apply(context.Background(), generation.Apply{ID: id, Base: base, Text: text})
	if err != nil {
		writeApplyError(ctx, err)
		return
	}
	writeJSON(ctx, Applied{Generation: g, Findings: findings})
}

func writeApplyError(ctx *fasthttp.RequestCtx, err error) {
	var findings finding.List
	switch {
	case errors.As(err, &findings):
		writeError(ctx, fasthttp.StatusUnprocessableEntity, invalidFile(findings))
	case errorx.IsOfType(err, generation.Conflict):
		writeError(ctx, fasthttp.StatusConflict, Error{Code: CodeConflict, Message: err.Error()})
	case errorx.IsOfType(err, generation.OutcomeUnknown):
		writeError(ctx, fasthttp.StatusGatewayTimeout, Error{Code: CodeUnknown, Message: err.Error()})
	case errorx.IsOfType(err, store.Unavailable):
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: CodeUnavailable, Message: err.Error()})
	default:
		writeError(ctx, fasthttp.StatusInternalServerError, Error{Code: CodeUnavailable, Message: err.Error()})
	}
}

func (s *Service) showStatus(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.status.Gather(context.Background()))
}

func (s *Service) policies(ctx *fasthttp.RequestCtx) {
	inForce := policies.Default.Name
	if c := s.generations.InForce(); c != nil {
		inForce = c.Core.Policy.Name
	}
	writeJSON(ctx, Policies(inForce))
}

// Policies returns all policies and marks the one in force.
func Policies(inForce string) []Policy {
	var out []Policy
	for _, p := range policies.All {
		out = append(out, Policy{
			Name: p.Name, Title: p.Doc.Title, Text: p.Doc.Text, Since: p.Doc.Since, InForce: p.Name == inForce,
		})
	}
	return out
}

// release clears the record of backend servers ended by a request.
func (s *Service) release(ctx *fasthttp.RequestCtx) {
	text, _ := ctx.UserValue("request").(string)
	f, err := model.ParseFingerprint(text)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	s.status.Release(f)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (s *Service) drain(ctx *fasthttp.RequestCtx) {
	name, _ := ctx.UserValue("router").(string)
	if err := s.status.DrainRouter(context.Background(), name); err != nil {
		writeError(ctx, fasthttp.StatusNotFound, Error{Code: CodeNoRouter, Message: err.Error()})
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

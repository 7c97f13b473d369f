package front

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check/checks"
	"github.com/tamarindstep/tamarindstep/model"
)

const testKey = "a-key"

func testConfig(t testing.TB) *config.Compiled {
	t.Helper()
	text := `version: 1
accounts: [{name: league, keys: ["` + config.HashKey(testKey) + `"]}]
pools:
  - {name: assistant, kind: engine, backends: [{name: r, address: "127.0.0.1:1", data-hall: a, slots: 1}]}
  - {name: entries, kind: service, backends: [{name: s, address: "127.0.0.1:2", data-hall: a, slots: 1}]}
routes:
  - {name: chat, model: chat, pool: assistant, repeatable: true}
  - {name: waivers, service: entries, path: /waivers, pool: entries}
  - {name: review, model: review, pool: assistant, class: batch}
`
	f, findings := checks.File("test", []byte(text))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return config.Compile(1, f)
}

func request(path, body string, headers ...string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		ctx.Request.Header.Set(headers[i], headers[i+1])
	}
	ctx.Request.SetBodyString(body)
	return ctx
}

func TestBadRequestsAreRefusedClearly(t *testing.T) {
	const chat, good = "/v1/chat/completions", `{"model":"chat","messages":[]}`
	for _, c := range []struct {
		path, body string
		headers    []string
		want       *Refusal
		detail     string
	}{
		{chat, good, []string{"Authorization", "Bearer other"}, UnknownKey, ""},
		{chat, good, []string{"Authorization", ""}, UnknownKey, ""},
		{chat, "{\n  \"model\": }", nil, MalformedBody, "line 2, column 12"},
		{chat, `{"model":7}`, nil, MalformedBody, "line 1"},
		{chat, `{"messages":[]}`, nil, MalformedBody, `"model"`},
		{chat, `{"model":"chat"}`, nil, MalformedBody, `"messages"`},
		{"/v1/completions", `{"model":"chat"}`, nil, MalformedBody, `"prompt"`},
		{chat, `{"model":"none","messages":[]}`, nil, UnknownModel, `"none"`},
		{"/services/other/x", "", nil, UnknownService, `"other"`},
		{"/services/entries/other", "", nil, UnknownService, `"/other"`},
		{chat, good, []string{waitHeader, "soon"}, BadDeadline, `"soon"`},
		{chat, good, []string{waitHeader, "-1s"}, BadDeadline, ""},
		{chat, good, []string{classHeader, "urgent"}, BadClass, `"urgent"`},
		{chat, good, []string{idempotencyHeader, strings.Repeat("x", 256)}, BadKey, ""},
	} {
		is := is.New(t)
		_, p := parseCall(request(c.path, c.body, c.headers...), testConfig(t))
		is.True(p != nil)
		is.Equal(p.refusal, c.want)
		is.True(strings.Contains(p.detail, c.detail))
		ctx := request(c.path, c.body)
		p.refusal.write(ctx, p.detail, 0)
		is.True(json.Valid(ctx.Response.Body()))
		is.Equal(string(ctx.Response.Header.Peek(OutcomeHeader)), NotRun)
		is.True(len(ctx.Response.Header.Peek("Retry-After")) > 0)
	}
}

func TestParseCall(t *testing.T) {
	is := is.New(t)
	c, p := parseCall(request("/v1/completions", `{"model":"review","prompt":"12345678","stream":true}`), testConfig(t))
	is.True(p == nil)
	is.Equal(c.class, model.Batch)
	is.True(c.stream && c.id != "" && c.input > 1)
	c, p = parseCall(request("/services/entries/waivers/7?x=1", "", idempotencyHeader, "k"), testConfig(t))
	is.True(p == nil)
	is.Equal(c.path, "/waivers/7?x=1")
	is.True(!c.repeatable())
	c, p = parseCall(request("/v1/chat/completions", `{"model":"chat","messages":[]}`, idempotencyHeader, "k"), testConfig(t))
	is.True(p == nil)
	is.True(!c.repeatable()) // an idempotency key makes a request of a repeatable route non-repeatable
}

func TestPriorityIsSet(t *testing.T) {
	is := is.New(t)
	body, err := withPriority([]byte(`{"model":"m","priority":-5,"n":1.50}`), model.Batch)
	is.NoErr(err)
	is.Equal(string(body), `{"model":"m","n":1.50,"priority":1}`)
}

func TestRateEstimate(t *testing.T) {
	is := is.New(t)
	var p rateEstimator
	is.Equal(p.estimate(2*time.Second), 2*defaultRate)
	p.observe(100, time.Second)
	is.Equal(p.estimate(500*time.Millisecond), 50.0)
	p.observe(200, time.Second)
	is.Equal(p.estimate(time.Second), 110.0)
	p.observe(0, time.Second) // a response without tokens doesn't change the rate
	is.Equal(p.estimate(time.Second), 110.0)
}

func TestEveryRefusalIsListed(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, r := range Refusals() {
		is.True(!seen[r.Code])
		seen[r.Code] = true
		is.True(r.Outcome == NotRun || r.Outcome == Unknown)
	}
}

func FuzzUnderstand(f *testing.F) {
	c := testConfig(f)
	f.Add("/v1/chat/completions", `{"model":"chat","messages":[{"role":"user"}]}`, "5s")
	f.Add("/services/entries/waivers", "x", "")
	f.Add("/services/", "{", "1h1h")
	f.Fuzz(func(t *testing.T, path, body, wait string) {
		got, p := parseCall(request(path, body, waitHeader, wait), c)
		if (got == nil) == (p == nil) {
			t.Fatal("neither parsed nor refused")
		}
		if got == nil {
			return
		}
		if req, err := got.backendRequest(request(path, body), true); err == nil {
			fasthttp.ReleaseRequest(req)
		}
	})
}

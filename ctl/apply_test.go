package ctl

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestApplyNeedsTheCurrentGeneration guards against an apply on generation 0 because the router failed to tell the
// current one.
func TestApplyNeedsTheCurrentGeneration(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var applied atomic.Int64
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			if ctx.IsPut() {
				applied.Add(1)
			}
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString(`{"code":"store-unavailable","message":"the store doesn't answer"}`)
		})
	}()
	dir := t.TempDir()
	file, token := filepath.Join(dir, "fleet.yaml"), filepath.Join(dir, "token")
	text, err := os.ReadFile("../config/check/checks/testdata/good.yaml")
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, text, 0o600))
	is.NoErr(os.WriteFile(token, []byte("a token of the operators"), 0o600))
	var out, errs bytes.Buffer
	code := Run([]string{"--router", listener.Addr().String(), "--operator-token-file", token, "apply", file}, &out, &errs)
	is.Equal(code, ExitUnreached)
	is.Equal(applied.Load(), int64(0))
}

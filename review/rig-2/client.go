package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The operators' configuration of the small deployment: routes as those of akf-liga.
const (
	host      = "callers.example"
	callerKey = "asnmgkcuyj8pjbvk9m68"
	tenant    = "hule930"
)

// configuration returns the text of op/config.
func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":2000000},
"services":[
 {"name":"raadgiver","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":570274}},
 {"name":"arkiv","health_path":"/healthz","max_conns":110},
 {"name":"ligakontor","health_path":"/healthz","max_conns":110}],
"routes":[
 {"name":"transfer-appraisal","host":%[2]q,"path_prefix":"/stream/resumable/","kind":"streaming","resumable":true,"service":"raadgiver","max_attempts":2,"timeout_ms":6000,"slo_ms":800,"gap_slo_ms":400,"priority":1},
 {"name":"matchday-chat","host":%[2]q,"path_prefix":"/stream/chat/","kind":"streaming","service":"raadgiver","max_attempts":1,"timeout_ms":15000,"slo_ms":600,"gap_slo_ms":400,"priority":1},
 {"name":"lineup-submit","host":%[2]q,"path_prefix":"/lineup/","kind":"unsafe","service":"ligakontor","max_attempts":1,"timeout_ms":1000,"slo_ms":150,"priority":2},
 {"name":"waiver-claim","host":%[2]q,"path_prefix":"/waiver/","kind":"safe","service":"ligakontor","max_attempts":2,"timeout_ms":1000,"slo_ms":150,"priority":2}],
"tenants":[{"name":%[3]q,"api_keys":[%[4]q]}]}`, version, host, tenant, callerKey)
}

// reply is an answer as a client has received it.
type reply struct {
	status   int
	seal     string
	body     string
	unframed bool  // it ended with its connection
	err      error // it was cut off, and the client has seen that
}

// call sends a request on a new connection and reads the answer.
func (r *rig) call(m *router, method, path, id string, deadline time.Duration, body string) reply {
	r.note("client", "sends", id, method+" "+path+" to "+m.name)
	got := exchange(m.callers, method, path, id, deadline, body)
	text := fmt.Sprintf("status %d, seal %q, %d bytes, until close %t, error %v", got.status, got.seal, len(got.body), got.unframed, got.err)
	r.note("client", "gets", id, text)
	return got
}

func exchange(address, method, path, id string, deadline time.Duration, body string) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Key: %s\r\nTamarindstep-Request-Deadline-Ms: %d\r\n",
		method, path, host, id, callerKey, deadline.Milliseconds())
	if strings.HasPrefix(path, "/stream/") {
		head += "Tamarindstep-Model-Name: m\r\nTamarindstep-Token-Counts: 1000,51\r\nTamarindstep-Prompt-Prefix-Hash: " + id + ":1000\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, seal: resp.Header.Get("Tamarindstep-Response-Seal"), body: string(text), err: err,
		unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
}

// complete reports whether an answer looks complete to its client.
func (a reply) complete() bool { return a.status == http.StatusOK && errors.Is(a.err, nil) }

package store

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
	// callLimit is the time limit of a whole call, however its bytes arrive, without watches.
	callLimit = 3 * callTimeout
	// watchTimeout is how long a watch without any response is kept open.
	watchTimeout = 60 * time.Second
	// maxResponse is the maximum size of a response, in bytes: a value of up to a megabyte in base64, and some
	// reserve.
	maxResponse = 2 << 20
)

// Etcd is a client of the key-value service.
type Etcd struct {
	client *exchange.Client
}

// NewEtcd returns a client of the service at an IP address and port.
func NewEtcd(address string) *Etcd {
	return &Etcd{client: exchange.NewClient(address, dialTimeout)}
}

// Close closes the idle connections.
func (s *Etcd) Close() { s.client.Close() }

// The messages of the API. Bytes are in base64 and 64-bit numbers are strings, as in protobuf's JSON mapping.
type (
	rangeRequest struct {
		Key []byte `json:"key"`
	}
	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	responseHeader struct {
		Revision int64 `json:"revision,string"`
	}
	rangeResponse struct {
		Header responseHeader `json:"header"`
		KVs    []keyValue     `json:"kvs"`
	}
	compare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	}
	requestOp struct {
		Put   *putRequest   `json:"request_put,omitempty"`
		Range *rangeRequest `json:"request_range,omitempty"`
	}
	txnRequest struct {
		Compare []compare   `json:"compare"`
		Success []requestOp `json:"success"`
		Failure []requestOp `json:"failure"`
	}
	responseOp struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	}
	txnResponse struct {
		Header    responseHeader `json:"header"`
		Succeeded bool           `json:"succeeded"`
		Responses []responseOp   `json:"responses"`
	}
	watchCreate struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchEvent struct {
		KV keyValue `json:"kv"`
	}
	watchResult struct {
		Events []watchEvent `json:"events"`
	}
	watchResponse struct {
		Result watchResult `json:"result"`
	}
)

func (r rangeResponse) value() Value {
	if len(r.KVs) == 0 {
		return Value{}
	}
	return Value{Data: r.KVs[0].Value, Revision: r.KVs[0].ModRevision}
}

// Get implements Store.
func (s *Etcd) Get(ctx context.Context, key string) (Value, error) {
	var out rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out, callTimeout); err != nil {
		return Value{}, Unavailable.Wrap(err, "the store doesn't answer")
	}
	return out.value(), nil
}

// GetStale implements Store. It is Get, as reads of any age have the same cost here.
func (s *Etcd) GetStale(ctx context.Context, key string) (Value, error) { return s.Get(ctx, key) }

// pingKey is a key that is never written.
const pingKey = "tamarindstep/ping"

// Ping implements Store.
func (s *Etcd) Ping(ctx context.Context) error {
	var out rangeResponse
	return s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(pingKey)}, &out, PingReadTimeout)
}

// Swap implements Store.
func (s *Etcd) Swap(ctx context.Context, key string, revision int64, data []byte) (Value, bool, error) {
	name := []byte(key)
	request := txnRequest{
		Compare: []compare{{Key: name, Target: "MOD", Result: "EQUAL", ModRevision: revision}},
		Success: []requestOp{{Put: &putRequest{Key: name, Value: data}}},
		Failure: []requestOp{{Range: &rangeRequest{Key: name}}},
	}
	var out txnResponse
	if err := s.call(ctx, "/v3/kv/txn", request, &out, callTimeout); err != nil {
		if exchange.NotSent(err) {
			return Value{}, false, Unavailable.Wrap(err, "the store isn't reached")
		}
		return Value{}, false, Ambiguous.Wrap(err, "the store's answer to a swap is lost")
	}
	if out.Succeeded {
		return Value{Data: data, Revision: out.Header.Revision}, true, nil
	}
	if len(out.Responses) == 0 || out.Responses[0].Range == nil {
		return Value{}, false, nil
	}
	return out.Responses[0].Range.value(), false, nil
}

// Wait implements Store.
func (s *Etcd) Wait(ctx context.Context, key string, revision int64) (Value, error) {
	create := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: revision + 1}}
	response, err := s.post(ctx, "/v3/watch", create, exchange.Options{Timeout: watchTimeout, MaxBody: maxResponse})
	if err != nil {
		return Value{}, Unavailable.Wrap(err, "can't open a watch of the store")
	}
	defer response.Close()
	lines := bufio.NewScanner(response)
	lines.Buffer(nil, maxResponse)
	for lines.Scan() {
		var out watchResponse
		if err := json.Unmarshal(lines.Bytes(), &out); err != nil {
			return Value{}, Unavailable.Wrap(err, "can't decode a watch event of the store")
		}
		if n := len(out.Result.Events); n > 0 {
			kv := out.Result.Events[n-1].KV
			return Value{Data: kv.Value, Revision: kv.ModRevision}, nil
		}
	}
	return Value{}, Unavailable.New("watch of the store ended: %v", lines.Err())
}

func (s *Etcd) call(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	response, err := s.post(ctx, path, in, exchange.Options{Timeout: timeout, Within: callLimit, MaxBody: maxResponse})
	if err != nil {
		return err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	if err != nil {
		return &exchange.Error{Sent: true, Err: err}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return &exchange.Error{Sent: true, Err: Unavailable.New("status %d", response.StatusCode())}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &exchange.Error{Sent: true, Err: err}
	}
	return nil
}

func (s *Etcd) post(ctx context.Context, path string, in any, options exchange.Options) (*exchange.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &exchange.Error{Err: err}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.Header.SetHost("store")
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return s.client.Do(ctx, req, options)
}

// Package config defines the operators' configuration file. It reads files strictly,
// compiles them for the routers, and compares them.
package config

import (
	"time"

	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/internal/strictyaml"
)

// Version is the version of the file format.
const Version = 1

// MaxSize is the maximum size of a file in bytes. It is the maximum size of a value in the
// platform's store, less some space for the data that is stored with the file.
const MaxSize = 1000 << 10

// File is an operators' file. It contains the whole configuration.
type File struct {
	Version  int       `yaml:"version,required" json:"version"`
	Policy   string    `yaml:"policy" json:"policy,omitempty"`
	Accounts []Account `yaml:"accounts,required" json:"accounts"`
	Pools    []Pool    `yaml:"pools,required" json:"pools"`
	Routes   []Route   `yaml:"routes,required" json:"routes"`
	// Callers limits the requests of callers of host routes.
	Callers CallerLimits `yaml:"callers" json:"callers,omitzero"`
	// TokensPerSecond is the throughput of all engines together, where an input token counts
	// once and an output token twice; 0 if unknown.
	TokensPerSecond float64 `yaml:"tokens-per-second" json:"tokens-per-second,omitempty"`
	// Evacuated lists the data halls whose backend servers receive no new requests.
	Evacuated []string `yaml:"evacuated" json:"evacuated,omitempty"`
}

// CallerLimits limits the size of a caller's requests and the time to receive them; 0 selects
// the default.
type CallerLimits struct {
	HeaderBytes   int           `yaml:"header-bytes" json:"header-bytes,omitempty"`
	BodyBytes     int           `yaml:"body-bytes" json:"body-bytes,omitempty"`
	HeaderTimeout time.Duration `yaml:"header-timeout" json:"header-timeout,omitempty"`
	IdleTimeout   time.Duration `yaml:"idle-timeout" json:"idle-timeout,omitempty"`
}

// Account is a client account.
type Account struct {
	Name   string   `yaml:"name,required" json:"name"`
	Weight float64  `yaml:"weight" json:"weight,omitempty"` // default 1
	Keys   []string `yaml:"keys,required" json:"keys"`      // as sha256:HEX
	Limits Limits   `yaml:"limits" json:"limits,omitzero"`
	// Priority takes precedence over the priority of the routes; 0 is the highest.
	Priority int `yaml:"priority" json:"priority,omitempty"`
}

// Limits are an account's limits; 0 means no limit.
type Limits struct {
	// Concurrent is the maximum number of running requests in the fleet.
	Concurrent int `yaml:"concurrent" json:"concurrent,omitempty"`
	// Queue is the maximum number of requests waiting at one router.
	Queue int `yaml:"queue" json:"queue,omitempty"`
	// RequestsPerMinute is the maximum rate of requests at one router.
	RequestsPerMinute float64 `yaml:"requests-per-minute" json:"requests-per-minute,omitempty"`
}

// The kinds of a pool.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string `yaml:"name,required" json:"name"`
	Kind string `yaml:"kind,required" json:"kind"`
	// ExpectedOutput is the expected output of a request, in tokens, until some requests
	// have finished.
	ExpectedOutput float64 `yaml:"expected-output" json:"expected-output,omitempty"`
	// CallCost is the cost of one call of a service, in tokens.
	CallCost float64 `yaml:"call-cost" json:"call-cost,omitempty"`
	// Discovered reports whether the backend servers register themselves instead of being
	// listed here.
	Discovered bool `yaml:"discovered" json:"discovered,omitempty"`
	// MemoryTokens is the size of an engine's cache of prompts and answers, in tokens.
	MemoryTokens int `yaml:"memory-tokens" json:"memory-tokens,omitempty"`
	// CopyRate is the rate, in tokens per second, at which an engine copies from the cache
	// of another one; 0 if it can't.
	CopyRate float64 `yaml:"copy-rate" json:"copy-rate,omitempty"`
	// Connections is the maximum number of connections that a backend server accepts from all
	// routers together; 0 if unknown.
	Connections int `yaml:"connections" json:"connections,omitempty"`
	// ColdRate is the maximum number of requests per second sent to a backend server that is
	// still slow after its start, 0 for no limit; ColdFor is how long after its start it is slow.
	ColdRate float64       `yaml:"cold-rate" json:"cold-rate,omitempty"`
	ColdFor  time.Duration `yaml:"cold-for" json:"cold-for,omitempty"`
	Backends []Backend     `yaml:"backends" json:"backends,omitempty"`
}

// Backend is a backend server.
type Backend struct {
	Name     string `yaml:"name,required" json:"name"`
	Address  string `yaml:"address,required" json:"address"` // IP and port
	DataHall string `yaml:"data-hall,required" json:"data-hall"`
	Slots    int    `yaml:"slots,required" json:"slots"` // concurrent requests
	// Version is the version of its software. A stream is resumed only by a backend server of the version that began it.
	Version string `yaml:"version" json:"version,omitempty"`
}

// The ways to handle keyed requests while the store is unavailable.
const (
	ClaimsRequired   = "required"
	ClaimsBestEffort = "best-effort"
)

// Route assigns requests to pools and sets how they are handled.
type Route struct {
	Name string `yaml:"name,required" json:"name"`
	// Exactly one of Model, Service and Host is set. Model and Service match the name given in a
	// request; requests that match Host are passed through unchanged.
	Model   string `yaml:"model" json:"model,omitempty"`
	Service string `yaml:"service" json:"service,omitempty"`
	Host    string `yaml:"host" json:"host,omitempty"`
	// Path is the prefix of the paths of the service or host that the route matches.
	Path string `yaml:"path" json:"path,omitempty"`
	// Pool serves the route. A host route may have Split instead, which divides it between pools.
	Pool  string  `yaml:"pool" json:"pool,omitempty"`
	Split []Share `yaml:"split" json:"split,omitempty"`
	Class string  `yaml:"class" json:"class,omitempty"` // default interactive
	// Repeatable reports whether a request that may have been executed may be sent again.
	Repeatable bool `yaml:"repeatable" json:"repeatable,omitempty"`
	// Claims sets how keyed requests are handled while the store is unavailable.
	Claims string `yaml:"claims" json:"claims,omitempty"`
	// Wait is the maximum wait of a request whose caller gives none.
	Wait time.Duration `yaml:"wait" json:"wait,omitempty"`
	// Through holds the options of host routes.
	Through HostOptions `yaml:"through" json:"through,omitzero"`
}

// Share is the share of a route's requests that a pool serves.
type Share struct {
	Pool   string  `yaml:"pool,required" json:"pool"`
	Weight float64 `yaml:"weight,required" json:"weight"`
}

// HostOptions holds the options for passing through the requests of a host route.
type HostOptions struct {
	// Public reports whether requests need no API key.
	Public bool `yaml:"public" json:"public,omitempty"`
	// Streaming answers are events with ascending identifiers; Resumable ones may be
	// continued by another backend server.
	Streaming bool `yaml:"streaming" json:"streaming,omitempty"`
	Resumable bool `yaml:"resumable" json:"resumable,omitempty"`
	// Attempts is the maximum number of backend servers a request is sent to.
	Attempts int `yaml:"attempts" json:"attempts,omitempty"`
	// Timeout is the maximum total duration of a request.
	Timeout time.Duration `yaml:"timeout" json:"timeout,omitempty"`
	// Objective is the target time until an answer is complete, or until its first event if it
	// is streamed; PauseObjective is the target maximum pause between its events.
	Objective      time.Duration `yaml:"objective" json:"objective,omitempty"`
	PauseObjective time.Duration `yaml:"pause-objective" json:"pause-objective,omitempty"`
	// Priority is the route's priority; 0 is the highest.
	Priority int `yaml:"priority" json:"priority,omitempty"`
}

// Read parses a file and returns it with the positions of its values and the findings
// on its syntax and structure.
func Read(name string, data []byte) (*File, strictyaml.Positions, finding.List) {
	f := &File{}
	positions, findings := strictyaml.Read(name, data, f)
	return f, positions, findings
}

package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Two relays that consider each other dead, as after many lost datagrams, send each other nothing, so that the routers
// they serve don't receive each other's reports either. A relay therefore requests reports from routers whose reports
// don't arrive. A router that it considers alive then reports to it as to a relay for a while, starting with everything
// that it has running. One that it considers dead is pinged, so that it can refute that. The request is a message in
// the name of the requested router with the sequence of its last report received, without contents.

const (
	// requestAfter is the age of the last report from which a router's report is requested, and the time after which
	// the request is repeated.
	requestAfter = 600 * time.Millisecond
	// requestCheckInterval is the time between two checks for such routers.
	requestCheckInterval = 200 * time.Millisecond
	// maxReportRequests is the maximum number of routers to which requests are sent at a time, those with the oldest
	// requests first.
	maxReportRequests = 2
	// maxRequesters is the maximum number of relays that a router reports to besides its own, each for requesterTTL
	// after its last request.
	maxRequesters = 2
	requesterTTL  = 2 * time.Second
)

// reportRequests is the state of requesting missing reports, and of requests by relays.
type reportRequests struct {
	lastCheck  model.Time
	sent       map[string]model.Time // when each router was last sent a request
	requesters map[string]model.Time // relays that requested this router's reports, and when
}

func newReportRequests() reportRequests {
	return reportRequests{sent: map[string]model.Time{}, requesters: map[string]model.Time{}}
}

// requestMissingReports requests the reports of routers whose reports don't arrive, if this router is a relay.
func (c *Core) requestMissingReports() {
	l := &c.loads
	r := &l.reportRequests
	if !l.presence.enabled || l.link.relay != "" || c.now < r.lastCheck+requestCheckInterval {
		return
	}
	r.lastCheck = c.now
	names := c.missingReporters()
	slices.SortStableFunc(names, func(x, y string) int { return int(r.sent[x] - r.sent[y]) })
	for _, name := range names[:min(len(names), maxReportRequests)] {
		r.sent[name] = c.now
		c.requestReport(name)
	}
}

// missingReporters returns the routers that have neither reported nor been sent a request within requestAfter. It
// deletes the request times of routers that have reported.
func (c *Core) missingReporters() []string {
	sent := c.loads.reportRequests.sent
	var out []string
	for _, name := range c.members.Names() {
		switch {
		case c.now <= c.prompt.LastContact(name).At+requestAfter:
			delete(sent, name)
		case c.now > sent[name]+requestAfter:
			out = append(out, name)
		}
	}
	return out
}

func (c *Core) requestReport(name string) {
	m := c.members.Get(name)
	if !m.Reachable() {
		c.probeDead(name)
		return
	}
	request := &wire.Loads{Router: model.NameHash(name), Process: uint32(m.Boot), Sequence: c.prompt.LastContact(name).Sequence}
	c.announceSelf(name)
	c.appendLoads(name, []*wire.Loads{request}, wire.PassOn_PASS_ON_NOBODY)
}

// handleReportRequest handles a relay's request for this router's reports.
func (c *Core) handleReportRequest(from string) {
	l := &c.loads
	requesters := l.reportRequests.requesters
	if _, known := requesters[from]; !known && len(requesters) >= maxRequesters {
		return
	}
	requesters[from] = c.now
	if c.prompt.RefreshLoads() {
		l.changed = true
	}
	l.presence.lastHeartbeat = c.now - heartbeatInterval
}

// reportTargets returns the relays that this router, if it isn't one, reports to: its own, and those that have
// requested its reports.
func (c *Core) reportTargets() []string {
	l := &c.loads
	out := []string{l.link.relay}
	for _, name := range sortedKeys(l.reportRequests.requesters) {
		switch {
		case c.now > l.reportRequests.requesters[name]+requesterTTL:
			delete(l.reportRequests.requesters, name)
		case name != l.link.relay:
			out = append(out, name)
		}
	}
	return out
}

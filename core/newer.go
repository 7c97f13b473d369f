package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/wire"
)

// nearWait is how long a router waits to hear of what is newer from its own data
// hall, where some routers watch the store, before it fetches it from another one:
// what goes between data halls is few and dear.
const nearWait = 150 * time.Millisecond

// noteNewer finds whether another router has a newer configuration or catalog, and
// tells where to fetch it.
func (c *Core) noteNewer(d *wire.Datagram) {
	if d.Generation <= c.config.Generation && d.Catalog <= c.config.Catalog {
		return
	}
	if c.newerSince == 0 {
		c.newerSince = c.now
	}
	from := c.members.Get(d.From)
	near := from.DataHall == c.members.Self().DataHall
	if near || c.now >= c.newerSince+nearWait {
		c.do(GenerationSeen{From: d.From, Address: from.Address, Generation: d.Generation, Catalog: d.Catalog})
	}
}

// Package grid lays the routers out in rows, so that what each of them has to tell
// reaches all others in two hops.
//
// A router tells one router of each other row, which hands it on along its own row,
// and tells its own row itself. Each router so sends about twice the square root of
// the fleet's size in messages, where telling everybody would take as many as there
// are routers, and each message along a row carries what many routers have told.
//
// The routers are in order of their data halls: a row lies in one data hall as far as
// that goes, and only the small messages of the first hop cross between data halls.
//
// Limits. Each router lays out the grid from its own view of the fleet. Where two views
// differ, a message may come twice or not at all, until the views agree.
package grid

import (
	"cmp"
	"math"
	"slices"
)

// oneRow is the largest fleet that is one row: a second hop saves too few messages.
const oneRow = 16

// Router is a router as the layout sees it.
type Router struct {
	Name     string
	DataHall string
	// Doubtful tells that it may have died: it is told, but not relied on to hand on.
	Doubtful bool
}

// Neighbours are the routers that one router sends to.
type Neighbours struct {
	Row    []string // the others of its own row
	Across []string // one of each other row, which hands on along that row
}

// Of returns the neighbours of a router in the fleet, which holds the router itself.
// Where it doesn't, there are none.
func Of(self string, fleet []Router) Neighbours {
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b Router) int {
		return cmp.Or(cmp.Compare(a.DataHall, b.DataHall), cmp.Compare(a.Name, b.Name))
	})
	at := slices.IndexFunc(order, func(r Router) bool { return r.Name == self })
	if at < 0 {
		return Neighbours{}
	}
	width := widthOf(len(order))
	var out Neighbours
	for first := 0; first < len(order); first += width {
		row := order[first:min(first+width, len(order))]
		if at >= first && at < first+len(row) {
			out.Row = others(row, self)
			continue
		}
		out.Across = append(out.Across, relayOf(row, at%width))
	}
	return out
}

// widthOf returns how many routers a row has.
func widthOf(routers int) int {
	if routers <= oneRow {
		return max(routers, 1)
	}
	return int(math.Ceil(math.Sqrt(float64(routers))))
}

func others(row []Router, self string) []string {
	var out []string
	for _, r := range row {
		if r.Name != self {
			out = append(out, r.Name)
		}
	}
	return out
}

// relayOf returns the router of a row that hands on what a column is told: the one in
// that column, or the next one that isn't doubtful.
func relayOf(row []Router, column int) string {
	for i := range row {
		if r := row[(column+i)%len(row)]; !r.Doubtful {
			return r.Name
		}
	}
	return row[column%len(row)].Name
}

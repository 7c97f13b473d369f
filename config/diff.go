package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two files.
type Change struct {
	Kind string `json:"kind"` // of the changed object
	Name string `json:"name"`
	Op   string `json:"op"` // added, removed or changed
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Op {
	case opAdded:
		return fmt.Sprintf("+ %s %s: %s", c.Kind, c.Name, c.To)
	case opRemoved:
		return fmt.Sprintf("- %s %s", c.Kind, c.Name)
	}
	return fmt.Sprintf("~ %s %s: %s -> %s", c.Kind, c.Name, c.From, c.To)
}

const (
	opAdded   = "added"
	opRemoved = "removed"
	opChanged = "changed"
)

type objectKey struct{ kind, name string }

// Diff returns the changes that turn one file into another; from may be nil.
func Diff(from, to *File) []Change {
	before, after := objectsOf(from), objectsOf(to)
	var out []Change
	for t, text := range after {
		old, ok := before[t]
		switch {
		case !ok:
			out = append(out, Change{Kind: t.kind, Name: t.name, Op: opAdded, To: text})
		case old != text:
			out = append(out, Change{Kind: t.kind, Name: t.name, Op: opChanged, From: old, To: text})
		}
	}
	for t := range before {
		if _, ok := after[t]; !ok {
			out = append(out, Change{Kind: t.kind, Name: t.name, Op: opRemoved})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// objectsOf returns the named objects of a file, each as a line of JSON.
func objectsOf(f *File) map[objectKey]string {
	out := map[objectKey]string{}
	if f == nil {
		return out
	}
	add := func(kind, name string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		out[objectKey{kind, name}] = string(text)
	}
	add("policy", "in force", f.Policy)
	for _, a := range f.Accounts {
		add("account", a.Name, a)
	}
	for _, p := range f.Pools {
		for _, b := range p.Backends {
			add("backend server", p.Name+"/"+b.Name, b)
		}
		p.Backends = nil
		add("pool", p.Name, p)
	}
	for _, r := range f.Routes {
		add("route", r.Name, r)
	}
	return out
}

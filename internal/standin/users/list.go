package users

import (
	"maps"
	"net/http"
	"slices"
	"strings"
)

const (
	// listPageSize is the default number of items of a page.
	listPageSize = 3
	// pageBytes is the size of the values from which on a page isn't continued, in bytes.
	pageBytes = 1 << 20
)

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("since_rev")
	s.notifyPage(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.itemsFor(r)
	out := struct {
		Items []entry `json:"items"`
		More  bool    `json:"more"`
		At    int64   `json:"at"`
	}{At: s.revision}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(out.Items) == s.pageItems || size > pageBytes {
			out.More = true
			break
		}
		out.Items = append(out.Items, items[key])
		size += len(items[key].Value)
	}
	writeJSON(w, http.StatusOK, out)
}

// SetPageItems sets the number of items of a page of a list.
func (s *Store) SetPageItems(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = n
}

// BetweenPages calls a function before each further page of a list is read.
func (s *Store) BetweenPages(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.betweenPages = change
}

// notifyPage calls the function set by BetweenPages before a further page of a list.
func (s *Store) notifyPage(after string) {
	s.mu.Lock()
	change := s.betweenPages
	s.mu.Unlock()
	if change != nil && after != "" {
		change()
	}
}

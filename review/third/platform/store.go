package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound stand-in of the platform's key-value store: linearizable, with a
// history of all changes. The operator writes by put, the daemons over HTTP.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	changed  chan struct{}
}

type item struct {
	value    []byte
	revision uint64
	created  uint64
}

// event is a change of a key, or its deletion.
type event struct {
	key     string
	item    item
	deleted bool
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.wake()
}

// set writes a key at the present revision. The caller holds mu.
func (s *store) set(key string, value []byte) {
	it := item{value: value, revision: s.revision, created: s.revision}
	if old, ok := s.items[key]; ok {
		it.created = old.created
	}
	s.items[key] = it
	s.events = append(s.events, event{key: key, item: it})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at a listener until ctx ends.
func (s *store) serve(ctx context.Context, ln net.Listener) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", s.serveKey)
	m.HandleFunc("GET /api/kv-range", s.serveRange)
	m.HandleFunc("GET /api/kv-watch", s.serveWatch)
	m.HandleFunc("POST /api/kv-txn", s.serveTxn)
	return serveUntil(ctx, ln, m)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (it item) fields(key string) map[string]any {
	return map[string]any{"key": key, "value": it.value, "revision": it.revision, "created": it.created, "lease": 0}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.URL.Query().Get("key")
	it, ok := s.items[key]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	out := it.fields(key)
	out["asOf"] = s.revision
	writeJSON(w, http.StatusOK, out)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []map[string]any{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) && key > r.URL.Query().Get("after") {
			list = append(list, it.fields(key))
		}
	}
	sortByKey(list)
	writeJSON(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		list, asOf, changed := s.since(after, r.URL.Query().Get("pathPrefix"))
		if len(list) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": list, "asOf": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": list, "asOf": asOf})
			return
		case <-changed:
		}
	}
}

// since returns the changes after a revision, the present one, and a channel that is
// closed at the next change.
func (s *store) since(after uint64, prefix string) ([]map[string]any, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []map[string]any{}
	for _, e := range s.events {
		if e.item.revision <= after || !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if e.deleted {
			list = append(list, map[string]any{"key": e.key, "revision": e.item.revision, "tombstone": true})
			continue
		}
		list = append(list, e.item.fields(e.key))
	}
	return list, s.revision, s.changed
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].revision != e.Revision {
			it := s.items[e.Key]
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []any{it.fields(e.Key)}})
			return
		}
	}
	s.revision++
	for _, e := range in.Writes {
		s.set(e.Key, e.Value)
	}
	for _, key := range in.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, event{key: key, item: item{revision: s.revision}, deleted: true})
		}
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

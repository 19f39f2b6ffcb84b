//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvStore is a stand-in of the platform's store: linearizable, no faults. Daemons use
// no leases, so it has none.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	events   []kvItem
	changed  chan struct{}
	addr     string
	server   *http.Server
}

type kvItem struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	deleted  bool
}

// startStore serves an empty store on a free port.
func startStore(host string) (*kvStore, error) {
	s := &kvStore{revision: 1, items: map[string]kvItem{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{Handler: s}
	background(func() { _ = s.server.Serve(ln) })
	return s, nil
}

func (s *kvStore) close() { _ = s.server.Close() }

// put writes a key as the operator does.
func (s *kvStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, []byte(value))
}

func (s *kvStore) write(key string, value []byte) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.created
	}
	it := kvItem{key: key, value: value, revision: s.revision, created: created}
	s.items[key] = it
	s.note(it)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(kvItem{key: key, revision: s.revision, deleted: true})
}

func (s *kvStore) note(it kvItem) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (it kvItem) json() map[string]any {
	if it.deleted {
		return map[string]any{"key": it.key, "revision": it.revision, "tombstone": true}
	}
	return map[string]any{"key": it.key, "value": it.value, "revision": it.revision, "created": it.created, "lease": 0}
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements the calls of the store's page.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /api/kv-key":
		s.serveKey(w, q)
	case "GET /api/kv-range":
		s.serveRange(w, q)
	case "GET /api/kv-watch":
		s.serveWatch(w, r, q)
	case "POST /api/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *kvStore) serveKey(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[q.Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	body := it.json()
	body["asOf"] = s.revision
	answer(w, http.StatusOK, body)
}

const pageItems = 500

func (s *kvStore) serveRange(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		items = append(items, s.items[key].json())
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageItems, "asOf": s.revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for done := false; ; {
		s.mu.Lock()
		found := []map[string]any{}
		for _, e := range s.events {
			if e.revision > after && strings.HasPrefix(e.key, q.Get("pathPrefix")) {
				found = append(found, e.json())
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []any{}})
			return
		}
	}
	for _, e := range in.Writes {
		s.write(e.Key, e.Value)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	down     bool // each call is answered 503
	era      uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
}

// storeCopy is a copy of a store's items, from which it can be restored.
type storeCopy struct {
	revision uint64
	items    map[string]item
}

// item is a key with its value, or its deletion.
type item struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	deleted  bool
}

// maxWait is the longest wait of a watch.
const maxWait = 30 * time.Second

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// copy returns a copy of the items.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// restore puts a copy in place of the items, and starts the next era. The operator writes
// again what the copy lacks, and the store serves again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := map[string][]byte{}
	for key, i := range s.items {
		if strings.HasPrefix(key, "op/") && c.items[key].revision != i.revision {
			lost[key] = i.value
		}
	}
	s.era++
	s.revision, s.items, s.down, s.events = c.revision, maps.Clone(c.items), false, nil
	s.compacted = c.revision
	for key, value := range lost {
		s.write(key, value)
	}
	s.wake()
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

// setDown makes the store refuse all calls, or serve them again. Watches that wait end.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// write writes a key. The lock is held, as for the other methods without a lock.
func (s *store) write(key string, value []byte) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.created
	}
	i := item{key: key, value: value, revision: s.revision, created: created}
	s.items[key] = i
	s.events = append(s.events, i)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{key: key, revision: s.revision, deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	down, era := s.state()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, r)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	case "/api/kv-txn":
		s.serveTxn(w, r)
	default:
		http.NotFound(w, r)
	}
}

// state returns whether the store is down, and its era.
func (s *store) state() (down bool, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.era
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fields returns an item as it is sent.
func (i item) fields() map[string]any {
	if i.deleted {
		return map[string]any{"key": i.key, "revision": i.revision, "tombstone": true}
	}
	return map[string]any{"key": i.key, "value": i.value, "revision": i.revision, "created": i.created, "lease": 0}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	out := i.fields()
	out["asOf"] = s.revision
	reply(w, http.StatusOK, out)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	list := []any{}
	for _, key := range keys[:min(page, len(keys))] {
		list = append(list, s.items[key].fields())
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": len(keys) > page, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, msErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || msErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	_, era := s.state()
	for {
		events, asOf, changed, gone := s.after(query.Get("pathPrefix"), after, era)
		if gone != 0 {
			w.WriteHeader(gone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []any{}, "asOf": asOf})
			return
		}
	}
}

// after returns the changes after a revision, the revision up to which they reach, and a
// channel that is closed at the next change. The status is not zero if the store is down,
// or does not have that history in the era of the caller.
func (s *store) after(prefix string, after, era uint64) (events []any, asOf uint64, changed <-chan struct{}, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, 0, nil, http.StatusServiceUnavailable
	case era != s.era || after < s.compacted || after > s.revision:
		return nil, 0, nil, http.StatusGone
	}
	for _, e := range s.events {
		if e.revision > after && strings.HasPrefix(e.key, prefix) {
			events = append(events, e.fields())
		}
	}
	return events, s.revision, s.changed, 0
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
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []any{}, true
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		met = met && i.revision == e.Revision
		if ok {
			current = append(current, i.fields())
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range in.Writes {
		s.write(write.Key, write.Value)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

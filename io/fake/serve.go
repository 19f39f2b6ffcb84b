package fake

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"anvilstand/core/model"
	"anvilstand/io/store"
)

// Handler serves the service over HTTP as store.Client expects it. PUT /fault/NAME
// injects a fault: down, slow or lost, or well for none. With lost a write ends its
// connection without a response.
func Handler(s *Store) http.Handler {
	m := mux.NewRouter().UseEncodedPath()
	m.HandleFunc("/key/{name}", s.serveGet).Methods(http.MethodGet)
	m.HandleFunc("/key/{name}", s.servePut).Methods(http.MethodPut)
	m.HandleFunc("/fault/{name}", s.serveFault).Methods(http.MethodPut)
	return m
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	item, err := s.getOrWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(store.EraHeader, strconv.FormatUint(model.EraOf(item.StateVersion()), 10))
	if item.Version() == 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Version", strconv.FormatUint(item.Version(), 10))
	_, _ = w.Write(item.Data())
}

// getOrWatch reads the key of a request, as a watch when the query has the parameter
// after.
func (s *Store) getOrWatch(r *http.Request) (store.Item, error) {
	key := mux.Vars(r)["name"]
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return s.Get(r.Context(), key)
	}
	ctx, cancel := context.WithTimeout(r.Context(), milliseconds(r, "wait"))
	defer cancel()
	return s.Watch(ctx, key, after)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, "value is cut off or too large", http.StatusBadRequest)
		return
	}
	w.Header().Set(store.EraHeader, strconv.FormatUint(s.Era(), 10))
	next, err := s.Swap(r.Context(), mux.Vars(r)["name"], version, data, milliseconds(r, "lease"))
	switch {
	case err == nil:
		w.Header().Set("Version", strconv.FormatUint(next, 10))
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// slowDelay is the delay of each call with the fault slow set over HTTP.
const slowDelay = 500 * time.Millisecond

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	switch mux.Vars(r)["name"] {
	case "well":
		s.SetFault(nil)
	case "down":
		s.SetFault(Down{})
	case "slow":
		s.SetFault(NewSlow(slowDelay))
	case "lost":
		s.SetFault(LostAnswer{})
	default:
		http.Error(w, "faults are well, down, slow, lost", http.StatusNotFound)
	}
}

// milliseconds returns a query parameter as a duration, zero when it is missing or
// no number.
func milliseconds(r *http.Request, name string) time.Duration {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return time.Duration(n) * time.Millisecond
}

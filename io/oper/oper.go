// Package oper is the HTTP interface for operators: commands at POST /tell,
// queries at GET /ask, metrics at GET /metrics. It decides who is an operator,
// which revision a command becomes, and which HTTP status an error becomes.
// Commands are parsed in package change, queries in package query, and entries are
// written to the store in package watch.
package oper

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/query"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

// Oper is the operators' interface of one daemon.
type Oper struct {
	settings *prefs.Settings
	loop     *ctrl.Loop
	store    store.Store
	meter    *meter.Meter
	trace    func(model.Request) []string
	where    func(query.Where) []query.Decision
	log      hclog.Logger
}

// New returns the operators' interface of a daemon and adds the metrics of its
// control state to m. trace returns the decisions about a request, one per line; where
// returns those that a request would meet now.
func New(p *prefs.Settings, l *ctrl.Loop, s store.Store, m *meter.Meter, trace func(model.Request) []string, where func(query.Where) []query.Decision, log hclog.Logger) *Oper {
	o := &Oper{settings: p, loop: l, store: s, meter: m, trace: trace, where: where, log: log}
	o.registerMetrics()
	return o
}

// Handler returns the handler for all paths. Commands and queries need an
// operator's key; metrics need none.
func (o *Oper) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/tell", o.serveTell).Methods(http.MethodPost)
	m.HandleFunc("/ask", o.serveAsk).Methods(http.MethodGet)
	m.Handle("/metrics", o.meter.Handler()).Methods(http.MethodGet)
	return m
}

// operator returns the name of the operator whose key authorizes a request. A
// request without a known key is counted and logged. All keys are compared in
// constant time, so that the response time reveals none.
func (o *Oper) operator(r *http.Request) (string, bool) {
	given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	found := ""
	for name, key := range o.settings.Operators() {
		if subtle.ConstantTimeCompare([]byte(given), []byte(key)) == 1 {
			found = name
		}
	}
	if found == "" {
		o.meter.CountUnauthorized(r.URL.Path)
		o.log.Warn("operator refused", "path", r.URL.Path, "peer", r.RemoteAddr)
	}
	return found, found != ""
}

// writeOutcome maps the error of a command to the HTTP status: 200 means accepted,
// 409 that another entry made the revision or the expected one is past, 503 that
// the store is unavailable and nothing was changed, 502 that the entry may have
// been committed, 400 any other error. The subcommand tell derives its exit code
// from the status.
func writeOutcome(w http.ResponseWriter, rev model.Revision, err error) {
	var conflict *watch.Conflict
	switch {
	case err == nil:
		writeResult(w, http.StatusOK, rev, "accepted")
	case errors.As(err, &conflict):
		writeResult(w, http.StatusConflict, conflict.Winner().Revision(), err.Error())
	case errors.Is(err, errPastRevision):
		writeResult(w, http.StatusConflict, 0, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		writeResult(w, http.StatusServiceUnavailable, 0, err.Error())
	case errors.Is(err, store.ErrOutcomeUnknown):
		writeResult(w, http.StatusBadGateway, rev, err.Error())
	default:
		writeResult(w, http.StatusBadRequest, 0, err.Error())
	}
}

func writeResult(w http.ResponseWriter, status int, rev model.Revision, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&struct {
		Revision model.Revision `json:"revision"`
		Result   string         `json:"result"`
	}{rev, text})
}

func (o *Oper) serveAsk(w http.ResponseWriter, r *http.Request) {
	if _, ok := o.operator(r); !ok {
		writeResult(w, http.StatusUnauthorized, 0, "operator key is not known")
		return
	}
	q, err := query.Parse(r.URL.Query().Get("q"))
	if err != nil {
		writeResult(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	table := query.Answer(source{view: o.loop.View(), meter: o.meter, trace: o.trace, where: o.where}, q)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&struct {
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
	}{table.Columns(), table.Rows()})
}

// Package oper serves the operators over HTTP: commands at POST /tell, queries
// at GET /ask, counters at GET /metrics.
package oper

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"anvilstand/core/change"
	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/core/query"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

// Oper serves the operators of one daemon.
type Oper struct {
	prefs *prefs.Prefs
	loop  *ctrl.Loop
	store store.Store
	meter *meter.Meter
	trace func(model.Request) []string
}

// New returns the operators' side of a daemon.
func New(p *prefs.Prefs, l *ctrl.Loop, s store.Store, m *meter.Meter, trace func(model.Request) []string) *Oper {
	return &Oper{prefs: p, loop: l, store: s, meter: m, trace: trace}
}

// Handler serves the operators.
func (o *Oper) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/tell", o.serveTell).Methods(http.MethodPost)
	m.HandleFunc("/ask", o.serveAsk).Methods(http.MethodGet)
	m.Handle("/metrics", o.meter.Handler()).Methods(http.MethodGet)
	return m
}

// operator returns the name of the operator whose key came with a request.
func (o *Oper) operator(r *http.Request) (string, bool) {
	shown := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	found := ""
	for name, key := range o.prefs.Operators() {
		if subtle.ConstantTimeCompare([]byte(shown), []byte(key)) == 1 {
			found = name
		}
	}
	return found, found != ""
}

func (o *Oper) serveTell(w http.ResponseWriter, r *http.Request) {
	operator, ok := o.operator(r)
	if !ok {
		writeResult(w, http.StatusUnauthorized, 0, "operator key is not known")
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lang.MaxText))
	if err != nil {
		writeResult(w, http.StatusRequestEntityTooLarge, 0, "command is cut off or too large")
		return
	}
	e, err := o.prepare(r, operator, string(text))
	if err == nil {
		err = o.commit(r, e)
	}
	writeOutcome(w, e.Revision(), err)
}

// prepare reads a command and checks that it applies to what is in force.
func (o *Oper) prepare(r *http.Request, operator, text string) (change.Entry, error) {
	batch, err := change.Parse(text)
	if err != nil {
		return change.Entry{}, err
	}
	config := o.loop.View().Config()
	rev := config.Revision() + 1
	if want := r.URL.Query().Get("revision"); want != "" {
		n, err := strconv.ParseUint(want, 10, 63)
		if err != nil {
			return change.Entry{}, errors.Wrap(err, "read revision")
		}
		rev = model.Revision(n) + 1
	}
	op := r.URL.Query().Get("op")
	if !lang.IsName(op) {
		return change.Entry{}, errors.New("op: expected a name that identifies the operation")
	}
	if rev == config.Revision()+1 {
		if _, err := change.Apply(config, batch, rev); err != nil {
			return change.Entry{}, err
		}
	}
	return change.NewEntry(rev, model.Op(op), operator, time.Now().Unix(), batch), nil
}

func (o *Oper) commit(r *http.Request, e change.Entry) error {
	if err := watch.Commit(r.Context(), o.store, e); err != nil {
		return err
	}
	if err := o.loop.Tell(r.Context(), ctrl.NewLearned(e)); err != nil && !errors.Is(err, ctrl.ErrGap) {
		return err
	}
	return nil
}

func writeOutcome(w http.ResponseWriter, rev model.Revision, err error) {
	var conflict *watch.Conflict
	switch {
	case err == nil:
		writeResult(w, http.StatusOK, rev, "accepted")
	case errors.As(err, &conflict):
		writeResult(w, http.StatusConflict, conflict.Won().Revision(), err.Error())
	case errors.Is(err, store.ErrAway):
		writeResult(w, http.StatusServiceUnavailable, 0, err.Error())
	case errors.Is(err, store.ErrUnknown):
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
	table := query.Answer(source{view: o.loop.View(), meter: o.meter, trace: o.trace}, q)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&struct {
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
	}{table.Columns(), table.Rows()})
}

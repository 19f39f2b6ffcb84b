package oper

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
	"anvilstand/io/watch"
)

// catchUpTimeout is how long a command waits until this daemon has the revision
// that the command expects.
const catchUpTimeout = 2 * time.Second

// operation is an operator's command with the operator's name, the ID under which
// the command can be repeated and, if conditional, the revision that must be in
// force for it to apply.
type operation struct {
	operator    string
	id          model.Op
	command     change.Command
	expected    model.Revision
	conditional bool
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
	op, err := parseOperation(operator, r.URL.Query(), string(text))
	if err != nil {
		writeOutcome(w, 0, err)
		return
	}
	rev, err := o.execute(r.Context(), op)
	writeOutcome(w, rev, err)
}

func parseOperation(operator string, query url.Values, text string) (operation, error) {
	op := operation{operator: operator, id: model.Op(query.Get("op"))}
	if !lang.IsName(string(op.id)) {
		return op, errors.New("op: expected a name that identifies the operation")
	}
	if expected := query.Get("revision"); expected != "" {
		n, err := strconv.ParseUint(expected, 10, 63)
		if err != nil {
			return op, errors.New("revision: expected a whole number")
		}
		op.expected, op.conditional = model.Revision(n), true
	}
	command, err := change.ParseCommand(text)
	op.command = command
	return op, err
}

// execute commits a command as the next revision and returns that revision. When
// the history already has an entry with the same operation ID, it commits nothing
// and returns the revision of that entry, so that a client can repeat a request.
func (o *Oper) execute(ctx context.Context, op operation) (model.Revision, error) {
	view, err := o.awaitRevision(ctx, op)
	if err != nil {
		return 0, err
	}
	if prev, ok := findEntry(view.Entries(), func(e change.Entry) bool { return e.Op() == op.id }); ok {
		return prev.Revision(), checkRepeated(op, prev)
	}
	config := view.Config()
	if op.conditional && op.expected != config.Revision() {
		return 0, pastRevision(view, op.expected+1)
	}
	batch, err := o.resolve(ctx, op.command, config)
	if err != nil {
		return 0, err
	}
	rev := config.Revision() + 1
	if _, err := change.Apply(config, batch, rev); err != nil {
		return 0, err
	}
	e := change.NewEntry(rev, op.id, op.operator, time.Now().Unix(), batch)
	return rev, o.commit(ctx, e)
}

// awaitRevision waits until the revision that a command expects is in force here
// and returns the view then.
func (o *Oper) awaitRevision(ctx context.Context, op operation) (*ctrl.View, error) {
	waitCtx, stop := context.WithTimeout(ctx, catchUpTimeout)
	defer stop()
	err := o.loop.Await(waitCtx, func(v *ctrl.View) bool { return !op.conditional || v.Config().Revision() >= op.expected })
	view := o.loop.View()
	if err != nil {
		return nil, errors.Errorf("revision %d is expected, this daemon has %d in force", op.expected, view.Config().Revision())
	}
	return view, nil
}

// checkRepeated fails if a repeated operation has other changes than the entry that
// was committed under its ID.
func checkRepeated(op operation, prev change.Entry) error {
	batch, ok := op.command.(change.Batch)
	if ok && change.FormatBatch(batch.Changes()) != change.FormatBatch(prev.Batch()) {
		return errors.Errorf("op: revision %d is by the same operation and says something else", prev.Revision())
	}
	return nil
}

// pastRevision returns the *watch.Conflict with the entry that made a revision, or
// an error that wraps errPastRevision if that entry is no longer in memory.
func pastRevision(view *ctrl.View, rev model.Revision) error {
	if winner, ok := findEntry(view.Entries(), func(e change.Entry) bool { return e.Revision() == rev }); ok {
		return watch.NewConflict(winner)
	}
	return errors.Wrapf(errPastRevision, "revision %d, in force is %d", rev, view.Config().Revision())
}

var errPastRevision = errors.New("conflict: revision is long past")

func findEntry(entries []change.Entry, match func(change.Entry) bool) (change.Entry, bool) {
	for _, e := range entries {
		if match(e) {
			return e, true
		}
	}
	return change.Entry{}, false
}

// resolve returns the changes that a command makes to a configuration. For an
// undo it reads the configuration to go back to from the store.
func (o *Oper) resolve(ctx context.Context, c change.Command, config *conf.Config) ([]change.Change, error) {
	switch c := c.(type) {
	case change.Batch:
		return c.Changes(), nil
	case change.Undo:
		if c.Revision() >= config.Revision() {
			return nil, errors.Errorf("undo: expected a revision before %d, the one in force", config.Revision())
		}
		old, err := watch.ConfigAt(ctx, o.store, c.Revision())
		if err != nil {
			return nil, errors.Wrapf(err, "read revision %d", c.Revision())
		}
		batch := change.Diff(config, old)
		if len(batch) == 0 {
			return nil, errors.Errorf("undo: revision %d says what is in force", c.Revision())
		}
		return batch, nil
	}
	return nil, nil
}

// commit writes an entry to the store and puts it in force here. If another entry
// took the revision first, that one is put in force and the error is a
// *watch.Conflict. Once watch.Commit succeeds the entry is committed: an error of
// the control loop afterwards does not undo it.
func (o *Oper) commit(ctx context.Context, e change.Entry) error {
	err := watch.Commit(ctx, o.store, e)
	var conflict *watch.Conflict
	switch {
	case err == nil:
		return o.loop.Do(ctx, ctrl.NewEntryCommitted(e))
	case errors.As(err, &conflict):
		o.loop.Post(ctrl.NewEntryCommitted(conflict.Winner()))
	}
	return err
}

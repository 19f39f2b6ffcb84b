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

// behind is how long a command waits for the daemon to reach the revision that
// it expects.
const behind = 2 * time.Second

// order is a command as it came: who gave it, its operation, and the revision
// that it expects to be in force.
type order struct {
	operator string
	op       model.Op
	command  change.Command
	expected model.Revision
	bound    bool
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
	t, err := read(operator, r.URL.Query(), string(text))
	if err != nil {
		writeOutcome(w, 0, err)
		return
	}
	rev, err := o.tell(r.Context(), t)
	writeOutcome(w, rev, err)
}

func read(operator string, query url.Values, text string) (order, error) {
	t := order{operator: operator, op: model.Op(query.Get("op"))}
	if !lang.IsName(string(t.op)) {
		return t, errors.New("op: expected a name that identifies the operation")
	}
	if want := query.Get("revision"); want != "" {
		n, err := strconv.ParseUint(want, 10, 63)
		if err != nil {
			return t, errors.New("revision: expected a whole number")
		}
		t.expected, t.bound = model.Revision(n), true
	}
	command, err := change.ParseCommand(text)
	t.command = command
	return t, err
}

// tell commits a command as the next revision and returns that revision. An
// operation that is in force already is answered with the revision it made.
func (o *Oper) tell(ctx context.Context, t order) (model.Revision, error) {
	view, err := o.reach(ctx, t)
	if err != nil {
		return 0, err
	}
	if done, ok := find(view.Entries(), func(e change.Entry) bool { return e.Op() == t.op }); ok {
		return done.Revision(), repeated(t, done)
	}
	config := view.Config()
	if t.bound && t.expected != config.Revision() {
		return 0, passed(view, t.expected+1)
	}
	batch, err := o.resolve(ctx, t.command, config)
	if err != nil {
		return 0, err
	}
	rev := config.Revision() + 1
	if _, err := change.Apply(config, batch, rev); err != nil {
		return 0, err
	}
	e := change.NewEntry(rev, t.op, t.operator, time.Now().Unix(), batch)
	return rev, o.commit(ctx, e)
}

// reach waits for the revision that a command expects.
func (o *Oper) reach(ctx context.Context, t order) (*ctrl.View, error) {
	wait, stop := context.WithTimeout(ctx, behind)
	defer stop()
	err := o.loop.Await(wait, func(v *ctrl.View) bool { return !t.bound || v.Config().Revision() >= t.expected })
	view := o.loop.View()
	if err != nil {
		return nil, errors.Errorf("revision %d is expected, this daemon has %d in force", t.expected, view.Config().Revision())
	}
	return view, nil
}

// repeated checks that an operation given again is the same one.
func repeated(t order, done change.Entry) error {
	b, ok := t.command.(change.Batch)
	if ok && change.FormatBatch(b.Changes()) != change.FormatBatch(done.Batch()) {
		return errors.Errorf("op: revision %d is by the same operation and says something else", done.Revision())
	}
	return nil
}

// passed returns the conflict with the change that made a revision.
func passed(view *ctrl.View, rev model.Revision) error {
	if won, ok := find(view.Entries(), func(e change.Entry) bool { return e.Revision() == rev }); ok {
		return watch.NewConflict(won)
	}
	return errors.Wrapf(errPassed, "revision %d, in force is %d", rev, view.Config().Revision())
}

var errPassed = errors.New("conflict: revision is long past")

func find(entries []change.Entry, is func(change.Entry) bool) (change.Entry, bool) {
	for _, e := range entries {
		if is(e) {
			return e, true
		}
	}
	return change.Entry{}, false
}

// resolve returns the changes that a command makes to a configuration.
func (o *Oper) resolve(ctx context.Context, c change.Command, config *conf.Config) ([]change.Change, error) {
	switch c := c.(type) {
	case change.Batch:
		return c.Changes(), nil
	case change.Undo:
		if c.Revision() >= config.Revision() {
			return nil, errors.Errorf("undo: expected a revision before %d, the one in force", config.Revision())
		}
		old, err := watch.At(ctx, o.store, c.Revision())
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

// commit writes a change and puts it, or the one that won, in force here.
func (o *Oper) commit(ctx context.Context, e change.Entry) error {
	err := watch.Commit(ctx, o.store, e)
	var conflict *watch.Conflict
	switch {
	case err == nil:
		return o.loop.Tell(ctx, ctrl.NewLearned(e))
	case errors.As(err, &conflict):
		o.loop.Post(ctrl.NewLearned(conflict.Won()))
	}
	return err
}

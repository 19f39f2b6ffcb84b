package change

import (
	"github.com/go-faster/errors"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// ErrGap means that a change does not follow the configuration in force.
var ErrGap = errors.New("change does not follow the revision in force")

// ErrVoid means that a committed change did not apply and has no effect.
var ErrVoid = errors.New("change has no effect")

// Line is the line of revisions as a process knows it: the configuration in
// force and the newest entries that led to it. The zero value is the empty
// configuration. A Line is not safe for concurrent use.
type Line struct {
	config  *conf.Config
	entries []Entry
}

// MaxTail is the number of entries that a Line keeps.
const MaxTail = 512

// Config returns the configuration in force.
func (l *Line) Config() *conf.Config {
	if l.config == nil {
		return &conf.Config{}
	}
	return l.config
}

// Revision returns the revision in force.
func (l *Line) Revision() model.Revision { return l.Config().Revision() }

// Entries returns the newest entries, the oldest first.
func (l *Line) Entries() []Entry { return l.entries }

// After returns the entries that follow a revision, at most n. It reports
// false when the line no longer keeps the first of them.
func (l *Line) After(rev model.Revision, n int) ([]Entry, bool) {
	if rev >= l.Revision() {
		return nil, true
	}
	missing := int(l.Revision() - rev)
	if missing > len(l.entries) {
		return nil, false
	}
	tail := l.entries[len(l.entries)-missing:]
	return tail[:min(n, len(tail))], true
}

// Take applies the next entry. One that is in force already changes nothing.
// A committed entry that does not apply makes its revision without a change, at
// every daemon alike, so that the line goes on behind it.
func (l *Line) Take(e Entry) error {
	now := l.Revision()
	if e.revision <= now {
		return nil
	}
	if e.revision != now+1 {
		return errors.Wrapf(ErrGap, "revision %d after %d", e.revision, now)
	}
	next, err := Apply(l.Config(), e.batch, e.revision)
	if err != nil {
		next = conf.Edit(l.Config()).Commit(e.revision)
		err = errors.Wrapf(ErrVoid, "take revision %d: %v", e.revision, err)
	}
	l.config = next
	l.append(e)
	return err
}

// append never writes into an array that a snapshot may still read.
func (l *Line) append(e Entry) {
	if len(l.entries) >= 2*MaxTail {
		l.entries = append([]Entry(nil), l.entries[len(l.entries)-MaxTail:]...)
	}
	l.entries = append(l.entries, e)
}

// TakeBase puts a whole configuration in force, with the entries that led to
// it. An older one than is in force changes nothing.
func (l *Line) TakeBase(b Base) error {
	if b.revision <= l.Revision() {
		return nil
	}
	config, err := Apply(&conf.Config{}, b.batch, b.revision)
	if err != nil {
		return errors.Wrapf(err, "take base %d", b.revision)
	}
	l.config = config
	l.entries = b.entries
	return nil
}

// Base is a whole configuration at a revision, with the newest entries that
// led to it. A process that starts reads it in place of the line from the
// first revision on.
type Base struct {
	revision model.Revision
	batch    []Change
	entries  []Entry
}

// NewBase returns a base from its parts. The entries end at the revision.
func NewBase(rev model.Revision, batch []Change, entries []Entry) Base {
	return Base{revision: rev, batch: batch, entries: entries}
}

// BaseOf returns the base at the revision in force.
func (l *Line) BaseOf() Base {
	tail := l.entries[max(0, len(l.entries)-MaxTail):]
	return Base{revision: l.Revision(), batch: Describe(l.Config()), entries: tail}
}

// Revision returns the revision of the configuration.
func (b Base) Revision() model.Revision { return b.revision }

// Batch returns the changes that make the configuration from the empty one.
func (b Base) Batch() []Change { return b.batch }

// Entries returns the newest entries up to the revision, the oldest first.
func (b Base) Entries() []Entry { return b.entries }

package change

import (
	"github.com/go-faster/errors"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// ErrGap means that an entry does not follow the revision in force: entries
// between the two are missing.
var ErrGap = errors.New("change does not follow the revision in force")

// ErrNoEffect means that a committed entry did not apply and changed nothing but
// the revision.
var ErrNoEffect = errors.New("change has no effect")

// History is the history of the configuration as far as a process knows it: the
// configuration in force and the newest entries that led to it. The zero value is
// the empty configuration with no entries. It is not safe for concurrent use.
type History struct {
	config  *conf.Config
	entries []Entry
}

// MaxEntries is the number of newest entries that remain when the history drops
// old ones. It does so when it has twice as many.
const MaxEntries = 512

// Config returns the configuration in force.
func (h *History) Config() *conf.Config {
	if h.config == nil {
		return &conf.Config{}
	}
	return h.config
}

// Revision returns the revision of the configuration in force.
func (h *History) Revision() model.Revision { return h.Config().Revision() }

// Entries returns the newest entries, the oldest of them first.
func (h *History) Entries() []Entry { return h.entries }

// After returns the entries that follow a revision, at most n of them, the oldest
// first. It reports false when the oldest of them has been dropped.
func (h *History) After(rev model.Revision, n int) ([]Entry, bool) {
	if rev >= h.Revision() {
		return nil, true
	}
	missing := int(h.Revision() - rev)
	if missing > len(h.entries) {
		return nil, false
	}
	tail := h.entries[len(h.entries)-missing:]
	return tail[:min(n, len(tail))], true
}

// TakeEntry applies the next entry. An entry whose revision is in force already is
// ignored. An entry that leaves a gap is refused with ErrGap. A committed entry
// that does not apply gives ErrNoEffect: the configuration gets the entry's
// revision and no other change, the same at every daemon, so that later entries
// can follow.
func (h *History) TakeEntry(e Entry) error {
	current := h.Revision()
	if e.revision <= current {
		return nil
	}
	if e.revision != current+1 {
		return errors.Wrapf(ErrGap, "revision %d after %d", e.revision, current)
	}
	next, err := Apply(h.Config(), e.batch, e.revision)
	if err != nil {
		next = conf.Edit(h.Config()).Build(e.revision)
		err = errors.Wrapf(ErrNoEffect, "take revision %d: %v", e.revision, err)
	}
	h.config = next
	h.append(e)
	return err
}

// append adds an entry. It copies the entries when it drops old ones, because
// slices returned earlier may still be read.
func (h *History) append(e Entry) {
	if len(h.entries) >= 2*MaxEntries {
		h.entries = append([]Entry(nil), h.entries[len(h.entries)-MaxEntries:]...)
	}
	h.entries = append(h.entries, e)
}

// TakeSnapshot puts the configuration of a snapshot in force and takes over its
// entries. A snapshot is ignored unless its revision is newer than the one in
// force.
func (h *History) TakeSnapshot(s Snapshot) error {
	if s.revision <= h.Revision() {
		return nil
	}
	config, err := Apply(&conf.Config{}, s.batch, s.revision)
	if err != nil {
		return errors.Wrapf(err, "take base %d", s.revision)
	}
	h.config = config
	h.entries = s.entries
	return nil
}

// Snapshot is the whole configuration at a revision, with the newest entries that
// led to it. A process that starts reads it instead of every entry since the first
// revision.
type Snapshot struct {
	revision model.Revision
	batch    []Change
	entries  []Entry
}

// NewSnapshot returns a snapshot at revision rev. The batch makes the configuration
// from the empty one; the last of the entries is the one that made rev.
func NewSnapshot(rev model.Revision, batch []Change, entries []Entry) Snapshot {
	return Snapshot{revision: rev, batch: batch, entries: entries}
}

// Snapshot returns a snapshot of the configuration in force, with at most the
// newest MaxEntries entries.
func (h *History) Snapshot() Snapshot {
	tail := h.entries[max(0, len(h.entries)-MaxEntries):]
	return Snapshot{revision: h.Revision(), batch: Describe(h.Config()), entries: tail}
}

// Revision returns the revision of the configuration.
func (s Snapshot) Revision() model.Revision { return s.revision }

// Batch returns the changes that make the configuration from the empty one.
func (s Snapshot) Batch() []Change { return s.batch }

// Entries returns the newest entries up to the revision, the oldest of them first.
func (s Snapshot) Entries() []Entry { return s.entries }

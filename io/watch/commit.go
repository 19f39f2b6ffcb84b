package watch

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/io/codec"
	"anvilstand/io/store"
)

// Conflict is the error of a command whose revision another command made first.
type Conflict struct{ winner change.Entry }

// NewConflict returns a conflict with the entry that made the revision.
func NewConflict(winner change.Entry) *Conflict { return &Conflict{winner: winner} }

// Winner returns the entry that made the revision.
func (c *Conflict) Winner() change.Entry { return c.winner }

// Error returns the revision, its operator and a summary of its changes.
func (c *Conflict) Error() string {
	return "conflict: revision " + strconv.FormatUint(uint64(c.winner.Revision()), 10) + " by " + c.winner.Operator() +
		" says: " + change.Summarize(c.winner.Batch())
}

// Commit writes an entry under the key of its revision, which must not exist
// yet. When the write conflicts or its outcome is unknown, it reads the key back.
// An entry with the same operation id counts as committed. A value that does not
// decode is replaced. The error is a *Conflict when another entry made the
// revision, wraps store.ErrUnavailable when nothing changed, and
// store.ErrOutcomeUnknown when the entry may have been written. Any other error
// means that the entry could not be encoded, is too large, or the value at its key
// could not be decoded.
func Commit(ctx context.Context, s store.Store, e change.Entry) error {
	data, err := codec.EncodeEntry(e)
	if err != nil {
		return err
	}
	if len(data) > store.MaxValue {
		return errors.Errorf("commit revision %d: %d bytes are more than the store holds", e.Revision(), len(data))
	}
	_, err = s.Swap(ctx, EntryKey(e.Revision()), 0, data, 0)
	if err == nil || errors.Is(err, store.ErrUnavailable) {
		return err
	}
	return readBack(ctx, s, e, data, err)
}

// readBack finds out, after a write failed because of cause, which entry made the
// revision.
func readBack(ctx context.Context, s store.Store, e change.Entry, data []byte, cause error) error {
	item, err := s.Get(ctx, EntryKey(e.Revision()))
	if err != nil {
		return errors.Wrapf(store.ErrOutcomeUnknown, "commit revision %d: %v, then %v", e.Revision(), cause, err)
	}
	if item.Version() == 0 {
		return errors.Wrapf(store.ErrOutcomeUnknown, "commit revision %d: %v", e.Revision(), cause)
	}
	winner, err := codec.DecodeEntry(item.Data())
	if errors.Is(err, codec.ErrMalformed) {
		return replaceCorrupt(ctx, s, e, data, item.Version())
	}
	if err != nil {
		return errors.Wrapf(err, "commit revision %d", e.Revision())
	}
	if winner.Op() == e.Op() {
		return nil
	}
	return &Conflict{winner: winner}
}

// replaceCorrupt overwrites a value that does not decode. No daemon has put it in
// force, and no later revision could follow it.
func replaceCorrupt(ctx context.Context, s store.Store, e change.Entry, data []byte, version uint64) error {
	_, err := s.Swap(ctx, EntryKey(e.Revision()), version, data, 0)
	if err == nil || errors.Is(err, store.ErrUnavailable) {
		return err
	}
	return errors.Wrapf(store.ErrOutcomeUnknown, "commit revision %d over a corrupt value: %v", e.Revision(), err)
}

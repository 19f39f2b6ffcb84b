package watch

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/io/codec"
	"anvilstand/io/store"
)

// Conflict is a command that lost the race for its revision. It names the
// change that won.
type Conflict struct{ won change.Entry }

// NewConflict returns the conflict with the change that holds the revision.
func NewConflict(won change.Entry) *Conflict { return &Conflict{won: won} }

// Won returns the change that holds the revision.
func (c *Conflict) Won() change.Entry { return c.won }

// Error names the revision and what it says.
func (c *Conflict) Error() string {
	return "conflict: revision " + strconv.FormatUint(uint64(c.won.Revision()), 10) + " by " + c.won.Operator() +
		" says: " + change.Summarize(c.won.Batch())
}

// Commit writes a change as the next revision. When the answer is lost, it
// reads back who holds the revision. An error is a *Conflict, or wraps
// store.ErrAway when nothing changed, or store.ErrUnknown.
func Commit(ctx context.Context, s store.Store, e change.Entry) error {
	data, err := codec.EncodeEntry(e)
	if err != nil {
		return err
	}
	if len(data) > store.MaxValue {
		return errors.Errorf("commit revision %d: %d bytes are more than the store holds", e.Revision(), len(data))
	}
	_, err = s.Swap(ctx, EntryKey(e.Revision()), 0, data, 0)
	if err == nil || errors.Is(err, store.ErrAway) {
		return err
	}
	return settle(ctx, s, e, data, err)
}

func settle(ctx context.Context, s store.Store, e change.Entry, data []byte, cause error) error {
	item, err := s.Get(ctx, EntryKey(e.Revision()))
	if err != nil {
		return errors.Wrapf(store.ErrUnknown, "commit revision %d: %v, then %v", e.Revision(), cause, err)
	}
	if item.Version() == 0 {
		return errors.Wrapf(store.ErrUnknown, "commit revision %d: %v", e.Revision(), cause)
	}
	won, err := codec.DecodeEntry(item.Data())
	if errors.Is(err, codec.ErrForm) {
		return mend(ctx, s, e, data, item.Version())
	}
	if err != nil {
		return errors.Wrapf(err, "commit revision %d", e.Revision())
	}
	if won.Op() == e.Op() {
		return nil
	}
	return &Conflict{won: won}
}

// mend replaces a corrupt value, which no daemon has put in force, so that the
// line can go on.
func mend(ctx context.Context, s store.Store, e change.Entry, data []byte, version uint64) error {
	_, err := s.Swap(ctx, EntryKey(e.Revision()), version, data, 0)
	if err == nil || errors.Is(err, store.ErrAway) {
		return err
	}
	return errors.Wrapf(store.ErrUnknown, "commit revision %d over a corrupt value: %v", e.Revision(), err)
}

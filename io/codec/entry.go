package codec

import (
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/model"
)

// EncodeEntry encodes an entry of the configuration history, as [protocol version,
// revision, operation id, operator, Unix time in seconds, text of the changes].
func EncodeEntry(e change.Entry) ([]byte, error) {
	return packVersioned(e.Revision(), e.Op(), e.Operator(), e.Unix(), change.FormatBatch(e.Batch()))
}

// DecodeEntry decodes an entry of the configuration history. The error wraps
// ErrVersion, ErrMalformed or the parse error of the changes.
func DecodeEntry(data []byte) (change.Entry, error) {
	var (
		rev            model.Revision
		op             model.Op
		operator, text string
		unix           int64
	)
	if err := unpackVersioned(data, &rev, &op, &operator, &unix, &text); err != nil {
		return change.Entry{}, errors.Wrap(err, "decode entry")
	}
	batch, err := change.ParseChanges(text)
	if err != nil {
		return change.Entry{}, errors.Wrapf(err, "decode entry %d", rev)
	}
	return change.NewEntry(rev, op, operator, unix, batch), nil
}

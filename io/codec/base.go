package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/model"
)

// Packer encodes bases. Its zero value works.
type Packer struct{}

// Pack encodes a base.
func (Packer) Pack(b change.Snapshot) ([]byte, error) {
	entries, err := packEntries(b.Entries())
	if err != nil {
		return nil, err
	}
	return seal(b.Revision(), change.FormatBatch(b.Batch()), entries)
}

// Unpack decodes a base.
func (Packer) Unpack(data []byte) (change.Snapshot, error) {
	var (
		rev     model.Revision
		text    string
		entries []cbor.RawMessage
	)
	if err := open(data, &rev, &text, &entries); err != nil {
		return change.Snapshot{}, errors.Wrap(err, "decode base")
	}
	batch, err := change.ParseBatch(text)
	if err != nil {
		return change.Snapshot{}, errors.Wrapf(err, "decode base %d", rev)
	}
	list, err := unpackEntries(entries)
	return change.NewSnapshot(rev, batch, list), err
}

func packEntries(list []change.Entry) ([]cbor.RawMessage, error) {
	packed := make([]cbor.RawMessage, 0, len(list))
	for _, e := range list {
		data, err := EncodeEntry(e)
		if err != nil {
			return nil, err
		}
		packed = append(packed, data)
	}
	return packed, nil
}

func unpackEntries(packed []cbor.RawMessage) ([]change.Entry, error) {
	list := make([]change.Entry, 0, len(packed))
	for _, p := range packed {
		e, err := DecodeEntry(p)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list, nil
}

// EncodeCount encodes the revision and the number of parts of the newest base.
func EncodeCount(rev model.Revision, parts int) ([]byte, error) { return seal(rev, parts) }

// DecodeCount decodes the revision and the number of parts of the newest base.
func DecodeCount(data []byte) (model.Revision, int, error) {
	var (
		rev   model.Revision
		parts int
	)
	err := open(data, &rev, &parts)
	return rev, parts, err
}

// EncodeDomains encodes the list of the failure domains.
func EncodeDomains(list []model.Domain) ([]byte, error) { return seal(list) }

// DecodeDomains decodes the list of the failure domains.
func DecodeDomains(data []byte) ([]model.Domain, error) {
	var list []model.Domain
	err := open(data, &list)
	return list, err
}

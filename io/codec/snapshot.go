package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/model"
)

// Packer encodes and decodes snapshots of the configuration. The zero value is
// ready to use.
type Packer struct{}

// Pack returns the encoded snapshot.
func (Packer) Pack(s change.Snapshot) ([]byte, error) {
	entries, err := packEntries(s.Entries())
	if err != nil {
		return nil, err
	}
	return packVersioned(s.Revision(), change.FormatBatch(s.Batch()), entries)
}

// Unpack returns the snapshot that Pack encoded.
func (Packer) Unpack(data []byte) (change.Snapshot, error) {
	var (
		rev     model.Revision
		text    string
		entries []cbor.RawMessage
	)
	if err := unpackVersioned(data, &rev, &text, &entries); err != nil {
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

// EncodeSnapshotInfo encodes the revision of the newest stored snapshot, and the number
// of parts that it is stored in.
func EncodeSnapshotInfo(rev model.Revision, parts int) ([]byte, error) {
	return packVersioned(rev, parts)
}

// DecodeSnapshotInfo decodes the revision of the newest stored snapshot, and the number
// of parts that it is stored in.
func DecodeSnapshotInfo(data []byte) (model.Revision, int, error) {
	var (
		rev   model.Revision
		parts int
	)
	err := unpackVersioned(data, &rev, &parts)
	return rev, parts, err
}

// EncodeDomains encodes a list of failure domains.
func EncodeDomains(list []model.Domain) ([]byte, error) { return packVersioned(list) }

// DecodeDomains decodes a list of failure domains.
func DecodeDomains(data []byte) ([]model.Domain, error) {
	var list []model.Domain
	err := unpackVersioned(data, &list)
	return list, err
}

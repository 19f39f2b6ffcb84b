package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// kind numbers a form of message between daemons.
type kind uint8

// Kinds of messages. A number is never used again for another form.
const (
	kindBeat kind = 1
)

// EncodeMessage encodes a control message.
func EncodeMessage(m peer.Message) ([]byte, error) {
	switch m := m.(type) {
	case peer.Beat:
		return sealKind(kindBeat, m.Revision())
	}
	return nil, errors.Wrap(ErrForm, "encode message")
}

// DecodeMessage decodes a control message.
func DecodeMessage(data []byte) (peer.Message, error) {
	var (
		k    kind
		body cbor.RawMessage
	)
	if err := open(data, &k, &body); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m, err := decodeBody(k, body)
	if err != nil {
		return nil, errors.Wrapf(err, "decode message of kind %d", k)
	}
	return m, nil
}

func decodeBody(k kind, body []byte) (peer.Message, error) {
	switch k {
	case kindBeat:
		var rev model.Revision
		err := unpack(body, &rev)
		return peer.NewBeat(rev), err
	}
	return nil, errors.Wrap(ErrForm, "kind is not known")
}

func sealKind(k kind, parts ...any) ([]byte, error) {
	body, err := pack(parts...)
	if err != nil {
		return nil, err
	}
	return seal(k, cbor.RawMessage(body))
}

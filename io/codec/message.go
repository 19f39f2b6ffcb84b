package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/peer"
)

// kind numbers a form of message between daemons. A number is never used again
// for another form.
type kind uint8

// EncodeMessage encodes a control message.
func EncodeMessage(m peer.Message) ([]byte, error) {
	switch m := m.(type) {
	case peer.Heartbeat:
		return encodeBeat(m)
	case peer.SyncRequest:
		return sealKind(kindWant, m.Revision(), m.Versions())
	case peer.Entries:
		return encodePush(m)
	case peer.SnapshotChunk:
		return sealKind(kindPiece, m.Revision(), m.Index(), m.Count(), m.Data())
	case peer.MemberDelta:
		return encodeRoll(m.Delta())
	case peer.Announce:
		return encodeAnnounce(m.Member())
	case peer.Down:
		return encodeGone(m)
	case peer.CrashReport:
		return encodeAccuse(m)
	case peer.Share:
		return encodeShare(m.Message())
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
	case kindAccuse:
		return decodeAccuse(body)
	case kindBeat:
		return decodeBeat(body)
	case kindWant:
		return decodeWant(body)
	case kindPush:
		return decodePush(body)
	case kindPiece:
		return decodePiece(body)
	case kindRoll:
		return decodeRoll(body)
	case kindAnnounce:
		return decodeAnnounce(body)
	case kindGone:
		return decodeGone(body)
	case kindAsk, kindGrant, kindKnown:
		return decodeShare(k, body)
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

package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/peer"
)

// kind is the number of a type of message between daemons. The number of a type
// that is dropped must not be used for another one.
type kind uint8

// EncodeMessage encodes a control message: the version, the kind, and an array of
// the message's fields. It fails with ErrMalformed for a type without a kind.
func EncodeMessage(m peer.Message) ([]byte, error) {
	switch m := m.(type) {
	case peer.Heartbeat:
		return encodeHeartbeat(m)
	case peer.SyncRequest:
		return packMessage(kindSyncRequest, m.Revision(), m.Versions())
	case peer.Entries:
		return encodeEntries(m)
	case peer.SnapshotChunk:
		return packMessage(kindSnapshotChunk, m.Revision(), m.Index(), m.Count(), m.Data())
	case peer.MemberDelta:
		return encodeMemberDelta(m.Delta())
	case peer.Announce:
		return encodeOfMember(kindAnnounce, m.Member())
	case peer.Down:
		return encodeDown(m)
	case peer.Refusal:
		return encodeOfMember(kindRefusal, m.Member())
	case peer.CrashReport:
		return encodeCrashReport(m)
	case peer.Quota:
		return encodeQuota(m.Message())
	case peer.Rollout:
		return encodeRollout(m.Report())
	}
	return nil, errors.Wrap(ErrMalformed, "encode message of unknown type")
}

// DecodeMessage decodes a control message. The error wraps ErrVersion,
// ErrMalformed or the parse error of a configuration entry.
func DecodeMessage(data []byte) (peer.Message, error) {
	var (
		k    kind
		body cbor.RawMessage
	)
	if err := unpackVersioned(data, &k, &body); err != nil {
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
	case kindCrashReport:
		return decodeCrashReport(body)
	case kindHeartbeat:
		return decodeHeartbeat(body)
	case kindSyncRequest:
		return decodeSyncRequest(body)
	case kindEntries:
		return decodeEntries(body)
	case kindSnapshotChunk:
		return decodeSnapshotChunk(body)
	case kindMemberDelta:
		return decodeMemberDelta(body)
	case kindAnnounce:
		return decodeAnnounce(body)
	case kindDown:
		return decodeDown(body)
	case kindRefusal:
		return decodeRefusal(body)
	case kindRollout:
		return decodeRollout(body)
	case kindAsk, kindGrant, kindRecordUpdate:
		return decodeQuota(k, body)
	}
	return nil, errors.Wrap(ErrMalformed, "unknown kind")
}

func packMessage(k kind, parts ...any) ([]byte, error) {
	body, err := pack(parts...)
	if err != nil {
		return nil, err
	}
	return packVersioned(k, cbor.RawMessage(body))
}

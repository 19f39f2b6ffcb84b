package codec

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Kinds of the messages that keep the fleet together.
const (
	kindBeat     kind = 20
	kindWant     kind = 21
	kindPush     kind = 22
	kindPiece    kind = 23
	kindRoll     kind = 24
	kindAnnounce kind = 25
	kindGone     kind = 26
)

func encodeBeat(b peer.Heartbeat) ([]byte, error) {
	return sealKind(kindBeat, b.Revision(), b.Digest(), b.IsolatedFor().Milliseconds(), b.IsAnswer(), b.Coverage().Daemons(), b.Coverage().MinRevision())
}

func decodeBeat(body []byte) (peer.Message, error) {
	var (
		rev     model.Revision
		digest  uint64
		outside int64
		answer  bool
		daemons int
		lowest  model.Revision
	)
	if err := unpack(body, &rev, &digest, &outside, &answer, &daemons, &lowest); err != nil {
		return nil, err
	}
	b := peer.NewHeartbeat(rev, digest, time.Duration(max(0, outside))*time.Millisecond).WithCoverage(peer.NewCoverage(daemons, lowest))
	if answer {
		b = b.AsAnswer()
	}
	return b, nil
}

func decodeWant(body []byte) (peer.Message, error) {
	var (
		rev      model.Revision
		versions map[model.Domain]uint64
	)
	err := unpack(body, &rev, &versions)
	return peer.NewSyncRequest(rev, versions), err
}

func encodePush(p peer.Entries) ([]byte, error) {
	entries, err := packEntries(p.Entries())
	if err != nil {
		return nil, err
	}
	return sealKind(kindPush, entries, p.Newest())
}

func decodePush(body []byte) (peer.Message, error) {
	var (
		packed []cbor.RawMessage
		newest model.Revision
	)
	if err := unpack(body, &packed, &newest); err != nil {
		return nil, err
	}
	entries, err := unpackEntries(packed)
	return peer.NewEntries(entries, newest), err
}

func decodePiece(body []byte) (peer.Message, error) {
	var (
		rev          model.Revision
		index, count int
		data         []byte
	)
	err := unpack(body, &rev, &index, &count, &data)
	return peer.NewSnapshotChunk(rev, index, count, data), err
}

func encodeRoll(s fleet.Delta) ([]byte, error) {
	joined, err := packMembers(s.Joined())
	if err != nil {
		return nil, err
	}
	left, err := packMembers(s.Left())
	if err != nil {
		return nil, err
	}
	return sealKind(kindRoll, s.Domain(), s.From(), s.To(), joined, left)
}

func decodeRoll(body []byte) (peer.Message, error) {
	var (
		domain       model.Domain
		from, to     uint64
		joined, left []cbor.RawMessage
	)
	if err := unpack(body, &domain, &from, &to, &joined, &left); err != nil {
		return nil, err
	}
	added, err := unpackMembers(joined)
	if err != nil {
		return nil, err
	}
	removed, err := unpackMembers(left)
	return peer.NewMemberDelta(fleet.NewDelta(domain, from, to, added, removed)), err
}

func encodeAnnounce(m fleet.Member) ([]byte, error) {
	data, err := packMember(m)
	if err != nil {
		return nil, err
	}
	return sealKind(kindAnnounce, cbor.RawMessage(data))
}

func decodeAnnounce(body []byte) (peer.Message, error) {
	var data cbor.RawMessage
	if err := unpack(body, &data); err != nil {
		return nil, err
	}
	m, err := unpackMember(data)
	return peer.NewAnnounce(m), err
}

func encodeGone(g peer.Down) ([]byte, error) {
	data, err := packMember(g.Member())
	if err != nil {
		return nil, err
	}
	return sealKind(kindGone, cbor.RawMessage(data), g.Proven())
}

func decodeGone(body []byte) (peer.Message, error) {
	var (
		data   cbor.RawMessage
		proven bool
	)
	if err := unpack(body, &data, &proven); err != nil {
		return nil, err
	}
	m, err := unpackMember(data)
	return peer.NewDown(m, proven), err
}

package codec

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Kinds of the gossip messages.
const (
	kindHeartbeat     kind = 20
	kindSyncRequest   kind = 21
	kindEntries       kind = 22
	kindSnapshotChunk kind = 23
	kindMemberDelta   kind = 24
	kindAnnounce      kind = 25
	kindDown          kind = 26
	kindRefusal       kind = 27
)

func encodeHeartbeat(m peer.Heartbeat) ([]byte, error) {
	return packMessage(kindHeartbeat, m.Revision(), m.MembershipDigest(), m.IsolatedFor().Milliseconds(), m.IsAnswer(), m.Coverage().Daemons(), m.Coverage().MinRevision(),
		m.Freshness().Version(), m.Freshness().Age().Milliseconds())
}

func decodeHeartbeat(body []byte) (peer.Message, error) {
	var (
		rev         model.Revision
		digest      uint64
		isolatedFor int64
		answer      bool
		daemons     int
		minRevision model.Revision
		version     uint64
		age         int64
	)
	if err := unpack(body, &rev, &digest, &isolatedFor, &answer, &daemons, &minRevision, &version, &age); err != nil {
		return nil, err
	}
	m := peer.NewHeartbeat(rev, digest, milliseconds(isolatedFor)).WithCoverage(peer.NewCoverage(daemons, minRevision))
	m = m.WithFreshness(peer.NewFreshness(version, milliseconds(age)))
	if answer {
		m = m.AsAnswer()
	}
	return m, nil
}

// milliseconds returns a time that a peer sent, zero for a negative one and at most
// maxAge.
func milliseconds(n int64) time.Duration {
	return time.Duration(max(0, min(n, maxAge.Milliseconds()))) * time.Millisecond
}

// maxAge bounds the ages that a peer may send.
const maxAge = 365 * 24 * time.Hour

func decodeSyncRequest(body []byte) (peer.Message, error) {
	var (
		rev      model.Revision
		versions map[model.Domain]uint64
	)
	err := unpack(body, &rev, &versions)
	return peer.NewSyncRequest(rev, versions), err
}

func encodeEntries(m peer.Entries) ([]byte, error) {
	entries, err := packEntries(m.Entries())
	if err != nil {
		return nil, err
	}
	return packMessage(kindEntries, entries, m.Newest())
}

func decodeEntries(body []byte) (peer.Message, error) {
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

func decodeSnapshotChunk(body []byte) (peer.Message, error) {
	var (
		rev          model.Revision
		index, count int
		data         []byte
	)
	err := unpack(body, &rev, &index, &count, &data)
	return peer.NewSnapshotChunk(rev, index, count, data), err
}

func encodeMemberDelta(d fleet.Delta) ([]byte, error) {
	joined, err := packMembers(d.Joined())
	if err != nil {
		return nil, err
	}
	left, err := packMembers(d.Left())
	if err != nil {
		return nil, err
	}
	return packMessage(kindMemberDelta, d.Domain(), d.From(), d.To(), joined, left)
}

func decodeMemberDelta(body []byte) (peer.Message, error) {
	var (
		domain       model.Domain
		from, to     uint64
		joined, left []cbor.RawMessage
	)
	if err := unpack(body, &domain, &from, &to, &joined, &left); err != nil {
		return nil, err
	}
	joinedMembers, err := unpackMembers(joined)
	if err != nil {
		return nil, err
	}
	leftMembers, err := unpackMembers(left)
	return peer.NewMemberDelta(fleet.NewDelta(domain, from, to, joinedMembers, leftMembers)), err
}

// encodeOfMember encodes a message that holds a member and nothing else.
func encodeOfMember(k kind, m fleet.Member) ([]byte, error) {
	data, err := packMember(m)
	if err != nil {
		return nil, err
	}
	return packMessage(k, cbor.RawMessage(data))
}

func decodeOfMember(body []byte) (fleet.Member, error) {
	var data cbor.RawMessage
	if err := unpack(body, &data); err != nil {
		return fleet.Member{}, err
	}
	return unpackMember(data)
}

func decodeAnnounce(body []byte) (peer.Message, error) {
	m, err := decodeOfMember(body)
	return peer.NewAnnounce(m), err
}

func decodeRefusal(body []byte) (peer.Message, error) {
	m, err := decodeOfMember(body)
	return peer.NewRefusal(m), err
}

func encodeDown(m peer.Down) ([]byte, error) {
	data, err := packMember(m.Member())
	if err != nil {
		return nil, err
	}
	return packMessage(kindDown, cbor.RawMessage(data), m.Proven())
}

func decodeDown(body []byte) (peer.Message, error) {
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

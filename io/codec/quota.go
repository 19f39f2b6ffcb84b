package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
)

// Kinds of the messages between the quota.Managers of two daemons.
const (
	kindAsk          kind = 40
	kindGrant        kind = 41
	kindRecordUpdate kind = 42
)

func encodeQuota(m quota.Message) ([]byte, error) {
	switch m := m.(type) {
	case quota.Ask:
		return encodeAsk(m)
	case quota.Grant:
		return packMessage(kindGrant, m.Org(), m.Seq(), m.Domain(), holderParts(m.Holder()), m.ID(), m.Tokens(), m.Level())
	case quota.RecordUpdate:
		return packMessage(kindRecordUpdate, m.Org(), m.Seq(), holderParts(m.Sender()), m.Version(), recordParts(m.Record()))
	}
	return nil, errors.Wrap(ErrMalformed, "encode quota message of unknown type")
}

func encodeAsk(m quota.Ask) ([]byte, error) {
	usage := make([]any, 0, len(m.Usage()))
	for _, u := range m.Usage() {
		usage = append(usage, []any{u.ID(), u.Spent(), u.Closed()})
	}
	return packMessage(kindAsk, m.Org(), m.Seq(), holderParts(m.From()), m.To(), m.Version(), m.Want(), m.OnDemand(), usage)
}

func holderParts(h quota.Holder) []any { return []any{h.Name(), h.Address(), h.Incarnation()} }

func recordParts(r quota.Record) []any {
	leases := make([]any, 0, len(r.Leases()))
	for _, l := range r.Leases() {
		leases = append(leases, []any{l.Domain(), holderParts(l.Holder()), l.Weight(), encodedLevel(l), l.Challenged()})
	}
	return []any{leases, r.NeverHeld(), r.Serial()}
}

func decodeQuota(k kind, body []byte) (peer.Message, error) {
	var (
		m   quota.Message
		err error
	)
	switch k {
	case kindAsk:
		m, err = decodeAsk(body)
	case kindGrant:
		m, err = decodeGrant(body)
	case kindRecordUpdate:
		m, err = decodeRecordUpdate(body)
	default:
		err = errors.Wrap(ErrMalformed, "unknown kind")
	}
	if err != nil {
		return nil, err
	}
	return peer.NewQuota(m), nil
}

func decodeAsk(body []byte) (quota.Message, error) {
	var (
		org          model.Org
		seq, version uint64
		from         cbor.RawMessage
		to           model.Incarnation
		want         int
		onDemand     bool
		packed       []cbor.RawMessage
	)
	if err := unpack(body, &org, &seq, &from, &to, &version, &want, &onDemand, &packed); err != nil {
		return nil, err
	}
	sender, err := decodeHolder(from)
	if err != nil {
		return nil, err
	}
	usage := make([]quota.Usage, 0, len(packed))
	for _, p := range packed {
		var (
			id     uint64
			spent  int
			closed bool
		)
		if err := unpack(p, &id, &spent, &closed); err != nil {
			return nil, err
		}
		usage = append(usage, quota.NewUsage(id, spent, closed))
	}
	ask := quota.NewAsk(org, seq, sender, to, version, want, usage)
	if onDemand {
		ask = ask.AsOnDemand()
	}
	return ask, nil
}

func decodeGrant(body []byte) (quota.Message, error) {
	var (
		org     model.Org
		seq, id uint64
		domain  model.Domain
		from    cbor.RawMessage
		tokens  int
		level   float64
	)
	if err := unpack(body, &org, &seq, &domain, &from, &id, &tokens, &level); err != nil {
		return nil, err
	}
	holder, err := decodeHolder(from)
	return quota.NewGrant(org, seq, domain, holder, id, tokens, level), err
}

func decodeRecordUpdate(body []byte) (quota.Message, error) {
	var (
		org          model.Org
		seq, version uint64
		from, packed cbor.RawMessage
	)
	if err := unpack(body, &org, &seq, &from, &version, &packed); err != nil {
		return nil, err
	}
	sender, err := decodeHolder(from)
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(packed)
	return quota.NewRecordUpdate(org, seq, sender, version, r), err
}

func decodeHolder(data []byte) (quota.Holder, error) {
	var (
		name        model.Instance
		address     string
		incarnation model.Incarnation
	)
	err := unpack(data, &name, &address, &incarnation)
	return quota.NewHolder(name, address, incarnation), err
}

// EncodeRecord encodes an organisation's quota record for the store, as
//
//	[protocol version, [leases, weight never held, serial]]
//
// Each lease is
//
//	[domain, [name, address, incarnation], weight, level, challenged]
//
// with weights in millionths. The holder of a vacant lease has incarnation zero, and its
// level is in tokens. The level of a held lease is zero if the holder is of a build that
// does not follow renewals. Otherwise it is one more than the revision of the record that
// added the challenge, which is zero without one. Earlier builds keep that level as it is.
func EncodeRecord(r quota.Record) ([]byte, error) {
	return packVersioned(recordParts(r))
}

// DecodeRecord decodes an organisation's quota record. A record whose weights or
// levels are out of range gives ErrMalformed.
func DecodeRecord(data []byte) (quota.Record, error) {
	var packed cbor.RawMessage
	if err := unpackVersioned(data, &packed); err != nil {
		return quota.Record{}, errors.Wrap(err, "decode quota record")
	}
	r, err := decodeRecord(packed)
	if err != nil {
		return quota.Record{}, errors.Wrap(err, "decode quota record")
	}
	return r, nil
}

// encodedLevel returns the number that a lease is encoded with as its level.
func encodedLevel(l quota.Lease) float64 {
	if l.Holder().Incarnation() == 0 || !l.Renewable() {
		return l.Level()
	}
	return float64(1 + l.Challenge())
}

func decodeRecord(data []byte) (quota.Record, error) {
	var (
		packed    []cbor.RawMessage
		neverHeld int
		serial    uint64
	)
	if err := unpack(data, &packed, &neverHeld, &serial); err != nil {
		return quota.Record{}, err
	}
	leases := make([]quota.Lease, 0, len(packed))
	for i, p := range packed {
		l, err := decodeLease(p)
		if err != nil {
			return quota.Record{}, errors.Wrapf(err, "lease %d", i+1)
		}
		leases = append(leases, l)
	}
	r := quota.NewRecord(leases, neverHeld).WithSerial(serial)
	if !r.Valid() {
		return quota.Record{}, errors.Wrap(ErrMalformed, "a weight or level is out of range, a domain has two leases, or the weight never held exceeds the free weight")
	}
	return r, nil
}

func decodeLease(data []byte) (quota.Lease, error) {
	var (
		domain     model.Domain
		packed     cbor.RawMessage
		weight     int
		level      float64
		challenged bool
	)
	if err := unpack(data, &domain, &packed, &weight, &level, &challenged); err != nil {
		return quota.Lease{}, err
	}
	h, err := decodeHolder(packed)
	if h.Incarnation() == 0 || level < 1 {
		return quota.NewLease(domain, h, weight, level, challenged), err
	}
	l := quota.NewLease(domain, h, weight, 0, false).AsRenewable()
	if challenged {
		l = l.WithChallenge(uint64(level) - 1)
	}
	return l, err
}

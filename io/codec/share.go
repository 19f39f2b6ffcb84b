package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
)

// Kinds of the messages between desks.
const (
	kindAsk   kind = 40
	kindGrant kind = 41
	kindKnown kind = 42
)

func encodeShare(m quota.Message) ([]byte, error) {
	switch m := m.(type) {
	case quota.Ask:
		return encodeAsk(m)
	case quota.Grant:
		return sealKind(kindGrant, m.Org(), m.Seq(), m.Domain(), holderParts(m.Holder()), m.ID(), m.Tokens(), m.Level())
	case quota.RecordUpdate:
		return sealKind(kindKnown, m.Org(), m.Seq(), holderParts(m.Sender()), m.Version(), recordParts(m.Record()))
	}
	return nil, errors.Wrap(ErrForm, "encode share message")
}

func encodeAsk(m quota.Ask) ([]byte, error) {
	uses := make([]any, 0, len(m.Usage()))
	for _, u := range m.Usage() {
		uses = append(uses, []any{u.ID(), u.Spent(), u.Closed()})
	}
	return sealKind(kindAsk, m.Org(), m.Seq(), holderParts(m.From()), m.To(), m.Version(), m.Want(), m.OnDemand(), uses)
}

func holderParts(h quota.Holder) []any { return []any{h.Name(), h.Address(), h.Incarnation()} }

func recordParts(r quota.Record) []any {
	titles := make([]any, 0, len(r.Leases()))
	for _, t := range r.Leases() {
		titles = append(titles, []any{t.Domain(), holderParts(t.Holder()), t.Weight(), t.Level(), t.Challenged()})
	}
	return []any{titles, r.NeverHeld(), r.Serial()}
}

func decodeShare(k kind, body []byte) (peer.Message, error) {
	var (
		m   quota.Message
		err error
	)
	switch k {
	case kindAsk:
		m, err = decodeAsk(body)
	case kindGrant:
		m, err = decodeGrant(body)
	case kindKnown:
		m, err = decodeKnown(body)
	default:
		err = errors.Wrap(ErrForm, "kind is not known")
	}
	if err != nil {
		return nil, err
	}
	return peer.NewShare(m), nil
}

func decodeAsk(body []byte) (quota.Message, error) {
	var (
		org          model.Org
		seq, version uint64
		from         cbor.RawMessage
		to           model.Incarnation
		want         int
		brief        bool
		packed       []cbor.RawMessage
	)
	if err := unpack(body, &org, &seq, &from, &to, &version, &want, &brief, &packed); err != nil {
		return nil, err
	}
	by, err := decodeHolder(from)
	if err != nil {
		return nil, err
	}
	uses := make([]quota.Usage, 0, len(packed))
	for _, p := range packed {
		var (
			id     uint64
			spent  int
			closed bool
		)
		if err := unpack(p, &id, &spent, &closed); err != nil {
			return nil, err
		}
		uses = append(uses, quota.NewUsage(id, spent, closed))
	}
	ask := quota.NewAsk(org, seq, by, to, version, want, uses)
	if brief {
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
	by, err := decodeHolder(from)
	return quota.NewGrant(org, seq, domain, by, id, tokens, level), err
}

func decodeKnown(body []byte) (quota.Message, error) {
	var (
		org          model.Org
		seq, version uint64
		from, packed cbor.RawMessage
	)
	if err := unpack(body, &org, &seq, &from, &version, &packed); err != nil {
		return nil, err
	}
	by, err := decodeHolder(from)
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(packed)
	return quota.NewRecordUpdate(org, seq, by, version, r), err
}

func decodeHolder(data []byte) (quota.Holder, error) {
	var (
		name    model.Instance
		address string
		process model.Incarnation
	)
	err := unpack(data, &name, &address, &process)
	return quota.NewHolder(name, address, process), err
}

// EncodeRecord encodes the titles of an organisation.
func EncodeRecord(r quota.Record) ([]byte, error) {
	return seal(recordParts(r))
}

// DecodeRecord decodes the titles of an organisation.
func DecodeRecord(data []byte) (quota.Record, error) {
	var packed cbor.RawMessage
	if err := open(data, &packed); err != nil {
		return quota.Record{}, errors.Wrap(err, "decode titles")
	}
	r, err := decodeRecord(packed)
	if err != nil {
		return quota.Record{}, errors.Wrap(err, "decode titles")
	}
	return r, nil
}

func decodeRecord(data []byte) (quota.Record, error) {
	var (
		packed []cbor.RawMessage
		fresh  int
		serial uint64
	)
	if err := unpack(data, &packed, &fresh, &serial); err != nil {
		return quota.Record{}, err
	}
	titles := make([]quota.Lease, 0, len(packed))
	for i, p := range packed {
		t, err := decodeTitle(p)
		if err != nil {
			return quota.Record{}, errors.Wrapf(err, "title %d", i+1)
		}
		titles = append(titles, t)
	}
	r := quota.NewRecord(titles, fresh).WithSerial(serial)
	if !r.Valid() {
		return quota.Record{}, errors.Wrap(ErrForm, "weights are out of range")
	}
	return r, nil
}

func decodeTitle(data []byte) (quota.Lease, error) {
	var (
		domain model.Domain
		packed cbor.RawMessage
		weight int
		level  float64
		notice bool
	)
	if err := unpack(data, &domain, &packed, &weight, &level, &notice); err != nil {
		return quota.Lease{}, err
	}
	h, err := decodeHolder(packed)
	return quota.NewLease(domain, h, weight, level, notice), err
}

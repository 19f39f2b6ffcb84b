package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/fleet"
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// EncodeMembers encodes the member list of a failure domain for the store. Each
// member is [name, domain, service, address, leaving, incarnation].
func EncodeMembers(list []fleet.Member) ([]byte, error) {
	packed, err := packMembers(list)
	if err != nil {
		return nil, err
	}
	return packVersioned(packed)
}

func packMembers(list []fleet.Member) ([]cbor.RawMessage, error) {
	packed := make([]cbor.RawMessage, 0, len(list))
	for _, m := range list {
		data, err := packMember(m)
		if err != nil {
			return nil, err
		}
		packed = append(packed, data)
	}
	return packed, nil
}

func packMember(m fleet.Member) ([]byte, error) {
	return pack(m.Name(), m.Domain(), m.Service(), m.Address(), m.Leaving(), m.Incarnation())
}

// DecodeMembers decodes the member list of a failure domain.
func DecodeMembers(data []byte) ([]fleet.Member, error) {
	var packed []cbor.RawMessage
	if err := unpackVersioned(data, &packed); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return unpackMembers(packed)
}

func unpackMembers(packed []cbor.RawMessage) ([]fleet.Member, error) {
	list := make([]fleet.Member, 0, len(packed))
	for i, p := range packed {
		m, err := unpackMember(p)
		if err != nil {
			return nil, errors.Wrapf(err, "decode member %d", i+1)
		}
		list = append(list, m)
	}
	return list, nil
}

func unpackMember(data []byte) (fleet.Member, error) {
	var (
		name        model.Instance
		domain      model.Domain
		service     model.Service
		address     string
		leaving     bool
		incarnation model.Incarnation
	)
	if err := unpack(data, &name, &domain, &service, &address, &leaving, &incarnation); err != nil {
		return fleet.Member{}, err
	}
	if !lang.IsName(string(name)) || !lang.IsName(string(domain)) || !lang.IsName(string(service)) {
		return fleet.Member{}, errors.Wrap(ErrMalformed, "invalid instance, domain or service name")
	}
	m := fleet.NewMember(name, domain, service, address).WithIncarnation(incarnation)
	if leaving {
		m = m.AsLeaving()
	}
	return m, nil
}

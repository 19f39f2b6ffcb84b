package codec

import (
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// EncodeMembers encodes the member list of a failure domain for the store. Each
// member is [name, domain, service, address, leaving, incarnation], followed by the
// version of its target if there is one: earlier builds know no version.
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
	if m.Version() != "" {
		return pack(m.Name(), m.Domain(), m.Service(), m.Address(), m.Leaving(), m.Incarnation(), m.Version())
	}
	return pack(m.Name(), m.Domain(), m.Service(), m.Address(), m.Leaving(), m.Incarnation())
}

// DecodeMembers decodes the member list of a failure domain. Entries that do not
// decode, or are of another domain, are left out; the error is then that of the
// first one. The list is nil if the value as a whole does not decode.
func DecodeMembers(d model.Domain, data []byte) ([]fleet.Member, error) {
	packed, err := splitMembers(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	list := make([]fleet.Member, 0, len(packed))
	var firstErr error
	for i, p := range packed {
		m, err := unpackMember(p)
		if err == nil && m.Domain() != d {
			err = errors.Wrapf(ErrMalformed, "member of domain %s in the list of %s", m.Domain(), d)
		}
		if err == nil {
			list = append(list, m)
		} else if firstErr == nil {
			firstErr = errors.Wrapf(err, "decode member %d", i+1)
		}
	}
	return list, firstErr
}

// splitMembers returns the encoded members of a member list.
func splitMembers(data []byte) ([]cbor.RawMessage, error) {
	var raw []cbor.RawMessage
	if err := splitMode.Unmarshal(data, &raw); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	var version int
	if len(raw) == 0 || decMode.Unmarshal(raw[0], &version) != nil {
		return nil, errors.Wrap(ErrMalformed, "no version")
	}
	if version != Version {
		return nil, errors.Wrapf(ErrVersion, "version %d", version)
	}
	var packed []cbor.RawMessage
	if len(raw) != 2 || splitMode.Unmarshal(raw[1], &packed) != nil {
		return nil, errors.Wrap(ErrMalformed, "no list")
	}
	return packed, nil
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

// maxVersionBytes bounds the version of a target.
const maxVersionBytes = 128

// countElements returns the number of elements of an encoded array, zero if it is none.
func countElements(data []byte) int {
	var raw []cbor.RawMessage
	if decMode.Unmarshal(data, &raw) != nil {
		return 0
	}
	return len(raw)
}

func unpackMember(data []byte) (fleet.Member, error) {
	var (
		name        model.Instance
		domain      model.Domain
		service     model.Service
		address     string
		leaving     bool
		incarnation model.Incarnation
		version     string
	)
	parts := []any{&name, &domain, &service, &address, &leaving, &incarnation}
	if countElements(data) > len(parts) {
		parts = append(parts, &version)
	}
	if err := unpack(data, parts...); err != nil {
		return fleet.Member{}, err
	}
	if len(version) > maxVersionBytes {
		return fleet.Member{}, errors.Wrap(ErrMalformed, "version is too long")
	}
	if !model.IsPortable(string(name)) || !model.IsPortable(string(domain)) || !model.IsPortable(string(service)) {
		return fleet.Member{}, errors.Wrap(ErrMalformed, "invalid instance, domain or service name")
	}
	if !isAddress(address) {
		return fleet.Member{}, errors.Wrap(ErrMalformed, "address is not host:port")
	}
	m := fleet.NewMember(name, domain, service, address).WithIncarnation(incarnation).WithVersion(version)
	if leaving {
		m = m.AsLeaving()
	}
	return m, nil
}

// isAddress reports whether an address is host:port, with a port from 1 to 65535.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

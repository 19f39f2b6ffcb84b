// Package codec turns the typed messages into bytes and back: CBOR between the
// project's own processes and in the store. Decisions know nothing of it.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrVersion means that a message was written by a protocol not known here.
var ErrVersion = errors.New("protocol version is not known")

// ErrForm means that a message does not have the form of its kind.
var ErrForm = errors.New("message is malformed")

// Version is the protocol that this build speaks, the first part of each
// message.
const Version = 1

// Bounds of a message, against peers that send nonsense.
const (
	maxElements = 1 << 16
	maxNesting  = 8
)

var decoding = must(cbor.DecOptions{
	MaxArrayElements: maxElements,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
}.DecMode())

func must(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// pack encodes values as one CBOR array.
func pack(parts ...any) ([]byte, error) {
	data, err := cbor.Marshal(parts)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// unpack decodes a CBOR array of exactly as many parts into pointers.
func unpack(data []byte, parts ...any) error {
	var raw []cbor.RawMessage
	if err := decoding.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(ErrForm, err.Error())
	}
	if len(raw) != len(parts) {
		return errors.Wrapf(ErrForm, "%d parts in place of %d", len(raw), len(parts))
	}
	for i, p := range parts {
		if err := decoding.Unmarshal(raw[i], p); err != nil {
			return errors.Wrapf(ErrForm, "part %d: %v", i+1, err)
		}
	}
	return nil
}

// seal packs values behind the protocol version.
func seal(parts ...any) ([]byte, error) {
	return pack(append([]any{Version}, parts...)...)
}

// open unpacks values behind the protocol version.
func open(data []byte, parts ...any) error {
	var raw []cbor.RawMessage
	if err := decoding.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(ErrForm, err.Error())
	}
	var version int
	if len(raw) == 0 || decoding.Unmarshal(raw[0], &version) != nil {
		return errors.Wrap(ErrForm, "no version")
	}
	if version != Version {
		return errors.Wrapf(ErrVersion, "version %d", version)
	}
	return unpack(data, append([]any{&version}, parts...)...)
}

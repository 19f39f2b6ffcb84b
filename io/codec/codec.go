// Package codec encodes and decodes the messages between daemons and the values
// in the store as CBOR, and calls as the value of a header. It checks the form of
// what it decodes, and neither sends nor stores anything. Packages in core do not
// depend on it, so that decisions stay apart from the encoding.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrVersion means that the data has another protocol version than Version.
var ErrVersion = errors.New("protocol version is not known")

// ErrMalformed means that the data is not valid CBOR, does not have the fields of its
// kind, or has a value that is out of range.
var ErrMalformed = errors.New("message is malformed")

// Version is the protocol version of this build. It is the first element of each
// message and stored value.
const Version = 1

// Limits of the decoder on the elements of an array and the levels of nesting, as
// protection from faulty peers.
const (
	maxElements = 1 << 16
	maxNesting  = 8
	// maxSplitNesting is the largest limit that the decoder allows.
	maxSplitNesting = 1<<16 - 1
)

var decMode = must(cbor.DecOptions{
	MaxArrayElements: maxElements,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
}.DecMode())

// splitMode splits a stored list into its entries, without a limit on how deeply one
// of them is nested, so that such an entry does not hide the others.
var splitMode = must(cbor.DecOptions{
	MaxArrayElements: maxElements,
	MaxNestedLevels:  maxSplitNesting,
	IndefLength:      cbor.IndefLengthForbidden,
}.DecMode())

func must(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return m
}

// pack encodes values as one CBOR array, without the protocol version.
func pack(parts ...any) ([]byte, error) {
	data, err := cbor.Marshal(parts)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// unpack decodes a CBOR array into the values that parts point to. It fails
// unless the array has exactly as many elements as there are parts.
func unpack(data []byte, parts ...any) error {
	var raw []cbor.RawMessage
	if err := decMode.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if len(raw) != len(parts) {
		return errors.Wrapf(ErrMalformed, "%d parts in place of %d", len(raw), len(parts))
	}
	for i, p := range parts {
		if err := decMode.Unmarshal(raw[i], p); err != nil {
			return errors.Wrapf(ErrMalformed, "part %d: %v", i+1, err)
		}
	}
	return nil
}

// packVersioned encodes the protocol version and values as one CBOR array.
func packVersioned(parts ...any) ([]byte, error) {
	return pack(append([]any{Version}, parts...)...)
}

// unpackVersioned decodes an array that packVersioned encoded. It checks the
// version before the number of elements, which another version may change.
func unpackVersioned(data []byte, parts ...any) error {
	var raw []cbor.RawMessage
	if err := decMode.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	var version int
	if len(raw) == 0 || decMode.Unmarshal(raw[0], &version) != nil {
		return errors.Wrap(ErrMalformed, "no version")
	}
	if version != Version {
		return errors.Wrapf(ErrVersion, "version %d", version)
	}
	return unpack(data, append([]any{&version}, parts...)...)
}

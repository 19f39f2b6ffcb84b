package codec

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/life"
	"anvilstand/core/model"
)

// EncodeStops encodes the recorded stops of a failure domain's targets for the store.
// Each is [instance, id, start, time]; the times are Unix milliseconds.
func EncodeStops(records []life.RecordedStop) ([]byte, error) {
	packed := make([]cbor.RawMessage, 0, len(records))
	for _, r := range records {
		data, err := pack(r.Instance(), r.Stop().ID(), r.Stop().ProcessStarted(), r.At().UnixMilli())
		if err != nil {
			return nil, err
		}
		packed = append(packed, data)
	}
	return packVersioned(packed)
}

// DecodeStops decodes recorded stops. No data is no records. Entries that do not decode
// are left out; the error is then that of the first one. The error wraps ErrVersion for
// a value of another protocol version.
func DecodeStops(data []byte) ([]life.RecordedStop, error) {
	if len(data) == 0 {
		return nil, nil
	}
	packed, err := splitMembers(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode stops")
	}
	records := make([]life.RecordedStop, 0, len(packed))
	var firstErr error
	for i, p := range packed {
		r, err := unpackStop(p)
		if err == nil {
			records = append(records, r)
		} else if firstErr == nil {
			firstErr = errors.Wrapf(err, "decode stop %d", i+1)
		}
	}
	return records, firstErr
}

func unpackStop(data []byte) (life.RecordedStop, error) {
	var (
		name        model.Instance
		id          string
		started, at int64
	)
	if err := unpack(data, &name, &id, &started, &at); err != nil {
		return life.RecordedStop{}, err
	}
	if !model.IsPortable(string(name)) {
		return life.RecordedStop{}, errors.Wrap(ErrMalformed, "invalid instance name")
	}
	return life.NewRecordedStop(name, life.NewStop(id, started), time.UnixMilli(at)), nil
}

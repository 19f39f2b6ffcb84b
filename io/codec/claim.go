package codec

import (
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/core/once"
)

// EncodeClaim encodes the claim of a process to run a key's request, which has
// so much time left.
func EncodeClaim(k once.Key, left time.Duration, by once.Process) ([]byte, error) {
	return seal(string(k), left.Microseconds(), by.Name(), by.Incarnation())
}

// DecodeClaim decodes a claim.
func DecodeClaim(data []byte) (once.Key, time.Duration, once.Process, error) {
	var (
		k, start string
		left     int64
		name     model.Instance
	)
	if err := open(data, &k, &left, &name, &start); err != nil {
		return "", 0, once.Process{}, errors.Wrap(err, "decode claim")
	}
	if !lang.IsName(k) || !lang.IsName(string(name)) || !lang.IsName(start) {
		return "", 0, once.Process{}, errors.Wrap(ErrForm, "decode claim")
	}
	left = max(0, min(left, maxLeft.Microseconds()))
	return once.Key(k), time.Duration(left) * time.Microsecond, once.NewProcess(name, start), nil
}

// EncodeClaimReply encodes the answer to a claim that was noted.
func EncodeClaimReply(vouched bool) ([]byte, error) { return seal(vouched) }

// DecodeClaimReply decodes the answer to a claim.
func DecodeClaimReply(data []byte) (bool, error) {
	var vouched bool
	if err := open(data, &vouched); err != nil {
		return false, errors.Wrap(err, "decode noted")
	}
	return vouched, nil
}

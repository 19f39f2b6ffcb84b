package codec

import (
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/core/once"
)

// EncodeClaim encodes the claim of a process to run the request of an
// idempotency key. The request has the given time left, which is sent in
// microseconds.
func EncodeClaim(k once.Key, left time.Duration, claimant once.Process) ([]byte, error) {
	return packVersioned(string(k), left.Microseconds(), claimant.Name(), claimant.Incarnation())
}

// DecodeClaim decodes a claim. The time left is between zero and an hour.
func DecodeClaim(data []byte) (once.Key, time.Duration, once.Process, error) {
	var (
		k, incarnation string
		left           int64
		name           model.Instance
	)
	if err := unpackVersioned(data, &k, &left, &name, &incarnation); err != nil {
		return "", 0, once.Process{}, errors.Wrap(err, "decode claim")
	}
	if !lang.IsName(k) || !lang.IsName(string(name)) || !lang.IsName(incarnation) {
		return "", 0, once.Process{}, errors.Wrap(ErrMalformed, "decode claim")
	}
	left = max(0, min(left, maxTimeLeft.Microseconds()))
	return once.Key(k), time.Duration(left) * time.Microsecond, once.NewProcess(name, incarnation), nil
}

// EncodeClaimReply encodes the answer to a claim whose key was recorded:
// whether it is certain that the key has not run within the window.
func EncodeClaimReply(keyIsNew bool) ([]byte, error) { return packVersioned(keyIsNew) }

// DecodeClaimReply decodes the answer to a claim.
func DecodeClaimReply(data []byte) (bool, error) {
	var keyIsNew bool
	if err := unpackVersioned(data, &keyIsNew); err != nil {
		return false, errors.Wrap(err, "decode claim reply")
	}
	return keyIsNew, nil
}

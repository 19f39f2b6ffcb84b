package codec

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/core/once"
)

// EncodeClaim encodes the claim of a process to run the request of an
// idempotency key. The request has the given time left, which is sent in
// microseconds. The number is returned apart, because a daemon of an earlier build
// refuses a claim with a further field; it is the value of a header, which such a daemon
// ignores.
func EncodeClaim(c once.Claim, left time.Duration) (data []byte, number string, err error) {
	data, err = packVersioned(string(c.Key()), left.Microseconds(), c.By().Name(), c.By().Incarnation())
	return data, strconv.FormatUint(c.Number(), 10), err
}

// DecodeClaim decodes a claim and its number, which is empty in one of an earlier build.
// The time left is between zero and an hour.
func DecodeClaim(data []byte, number string) (once.Claim, time.Duration, error) {
	var (
		n              uint64
		err            error
		k, incarnation string
		left           int64
		name           model.Instance
	)
	if err := unpackVersioned(data, &k, &left, &name, &incarnation); err != nil {
		return once.Claim{}, 0, errors.Wrap(err, "decode claim")
	}
	if number != "" {
		if n, err = strconv.ParseUint(number, 10, 64); err != nil {
			return once.Claim{}, 0, errors.Wrap(ErrMalformed, "decode claim: number")
		}
	}
	if !lang.IsName(k) || !model.IsPortable(string(name)) || !lang.IsName(incarnation) {
		return once.Claim{}, 0, errors.Wrap(ErrMalformed, "decode claim")
	}
	left = max(0, min(left, maxTimeLeft.Microseconds()))
	c := once.NewClaim(once.Key(k), once.NewProcess(name, incarnation), n)
	return c, time.Duration(left) * time.Microsecond, nil
}

// EncodeRelease encodes the release of a claim.
func EncodeRelease(c once.Claim) ([]byte, error) {
	return packVersioned(string(c.Key()), c.By().Name(), c.By().Incarnation(), c.Number())
}

// DecodeRelease decodes the release of a claim.
func DecodeRelease(data []byte) (once.Claim, error) {
	var (
		k, incarnation string
		name           model.Instance
		number         uint64
	)
	if err := unpackVersioned(data, &k, &name, &incarnation, &number); err != nil {
		return once.Claim{}, errors.Wrap(err, "decode release")
	}
	if !lang.IsName(k) || !model.IsPortable(string(name)) || !lang.IsName(incarnation) || number == 0 {
		return once.Claim{}, errors.Wrap(ErrMalformed, "decode release")
	}
	return once.NewClaim(once.Key(k), once.NewProcess(name, incarnation), number), nil
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

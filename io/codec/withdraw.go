package codec

import (
	"slices"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// EncodeWithdrawal encodes the ids of requests that a daemon withdraws from the queue of
// another one.
func EncodeWithdrawal(ids []model.Request) ([]byte, error) { return packVersioned(ids) }

// DecodeWithdrawal decodes the ids of withdrawn requests.
func DecodeWithdrawal(data []byte) ([]model.Request, error) {
	var ids []model.Request
	if err := unpackVersioned(data, &ids); err != nil {
		return nil, errors.Wrap(err, "decode withdrawal")
	}
	if slices.ContainsFunc(ids, func(id model.Request) bool { return !id.Valid() }) {
		return nil, errors.Wrap(ErrMalformed, "decode withdrawal")
	}
	return ids, nil
}

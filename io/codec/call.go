package codec

import (
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// EncodeCall encodes a call as the value of a header, in the form of a URL query.
// The time left is in microseconds, the fingerprint hexadecimal. The key tag with
// its revision, the idempotency id, the service and the host are left out when
// they are empty.
func EncodeCall(c model.Call) string {
	b := make([]byte, 0, callBytes)
	b = append(append(b, "id="...), c.ID()...)
	b = append(append(b, "&org="...), url.QueryEscape(string(c.Org()))...)
	b = strconv.AppendInt(append(b, "&rank="...), int64(c.Rank()), 10)
	b = strconv.AppendInt(append(b, "&order="...), int64(c.Order()), 10)
	b = strconv.AppendInt(append(b, "&left="...), c.TimeLeft().Microseconds(), 10)
	b = strconv.AppendInt(append(b, "&budget="...), int64(c.Budget()), 10)
	b = strconv.AppendUint(append(b, "&mark="...), uint64(c.Fingerprint()), 16)
	if c.KeyTag() != "" {
		b = append(append(b, "&tag="...), c.KeyTag()...)
		b = strconv.AppendUint(append(b, "&rev="...), uint64(c.Revision()), 10)
	}
	if c.IdempotencyID() != "" {
		b = append(append(b, "&once="...), c.IdempotencyID()...)
	}
	if c.Service() != "" {
		b = append(append(b, "&service="...), c.Service()...)
	}
	if c.Host() != "" {
		b = append(append(b, "&host="...), url.QueryEscape(c.Host())...)
	}
	return string(b)
}

const (
	// callBytes is the initial capacity of the buffer, in bytes.
	callBytes = 192
	// maxTimeLeft bounds the time left that a peer may send.
	maxTimeLeft = time.Hour
)

// DecodeCall decodes the value of a header. The error wraps ErrMalformed.
func DecodeCall(text string) (model.Call, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return model.Call{}, errors.Wrap(ErrMalformed, "decode call")
	}
	id, org := v.Get("id"), v.Get("org")
	rank, errRank := strconv.ParseUint(v.Get("rank"), 10, 8)
	order, errOrder := strconv.ParseUint(v.Get("order"), 10, 8)
	left, errLeft := strconv.ParseInt(v.Get("left"), 10, 64)
	budget, errBudget := strconv.ParseUint(v.Get("budget"), 10, 16)
	fingerprint, errFingerprint := strconv.ParseUint(v.Get("mark"), 16, 64)
	bad := errFingerprint != nil || errRank != nil || errOrder != nil || errLeft != nil || errBudget != nil || model.Rank(rank) > model.RankLowest
	if bad || !model.Request(id).Valid() || (org != "" && !lang.IsName(org)) {
		return model.Call{}, errors.Wrap(ErrMalformed, "decode call")
	}
	left = max(0, min(left, maxTimeLeft.Microseconds()))
	c := model.NewCall(model.Request(id), model.Org(org), model.Rank(rank))
	c = c.WithFingerprint(model.Fingerprint(fingerprint)).WithOrder(model.Order(order)).WithTimeLeft(time.Duration(left) * time.Microsecond).WithBudget(int(budget))
	return decodeOptional(c, v)
}

// decodeOptional adds the fields that a call may lack.
func decodeOptional(c model.Call, v url.Values) (model.Call, error) {
	c = c.WithHost(v.Get("host")).WithService(model.Service(v.Get("service")))
	if tag := v.Get("tag"); tag != "" {
		rev, err := strconv.ParseUint(v.Get("rev"), 10, 64)
		if err != nil || !lang.IsName(tag) {
			return c, errors.Wrap(ErrMalformed, "decode call: key tag or revision")
		}
		c = c.WithKey(tag, model.Revision(rev))
	}
	if id := v.Get("once"); id != "" {
		if !lang.IsName(id) {
			return c, errors.Wrap(ErrMalformed, "decode call: idempotency id")
		}
		c = c.WithIdempotencyID(id)
	}
	return c, nil
}

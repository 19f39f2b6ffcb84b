package codec

import (
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// EncodeCall encodes a call as the text of a header.
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

// Bounds of a call.
const (
	callBytes = 192
	maxLeft   = time.Hour
)

// DecodeCall decodes the text of a header.
func DecodeCall(text string) (model.Call, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return model.Call{}, errors.Wrap(ErrForm, "decode call")
	}
	id, org := v.Get("id"), v.Get("org")
	rank, errRank := strconv.ParseUint(v.Get("rank"), 10, 8)
	order, errOrder := strconv.ParseUint(v.Get("order"), 10, 8)
	left, errLeft := strconv.ParseInt(v.Get("left"), 10, 64)
	budget, errBudget := strconv.ParseUint(v.Get("budget"), 10, 16)
	mark, errMark := strconv.ParseUint(v.Get("mark"), 16, 64)
	bad := errMark != nil || errRank != nil || errOrder != nil || errLeft != nil || errBudget != nil || model.Rank(rank) > model.RankLowest
	if bad || !model.Request(id).Valid() || (org != "" && !lang.IsName(org)) {
		return model.Call{}, errors.Wrap(ErrForm, "decode call")
	}
	left = max(0, min(left, maxLeft.Microseconds()))
	c := model.NewCall(model.Request(id), model.Org(org), model.Rank(rank))
	c = c.WithFingerprint(model.Fingerprint(mark)).WithOrder(model.Order(order)).WithTimeLeft(time.Duration(left) * time.Microsecond).WithBudget(int(budget))
	return decodeMarks(c, v)
}

func decodeMarks(c model.Call, v url.Values) (model.Call, error) {
	c = c.WithHost(v.Get("host")).WithService(model.Service(v.Get("service")))
	if tag := v.Get("tag"); tag != "" {
		rev, err := strconv.ParseUint(v.Get("rev"), 10, 64)
		if err != nil || !lang.IsName(tag) {
			return c, errors.Wrap(ErrForm, "decode call: key")
		}
		c = c.WithKey(tag, model.Revision(rev))
	}
	if once := v.Get("once"); once != "" {
		if !lang.IsName(once) {
			return c, errors.Wrap(ErrForm, "decode call: once")
		}
		c = c.WithIdempotencyID(once)
	}
	return c, nil
}

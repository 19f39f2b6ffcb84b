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
	v := url.Values{}
	v.Set("id", string(c.ID()))
	v.Set("org", string(c.Org()))
	v.Set("rank", strconv.Itoa(int(c.Rank())))
	v.Set("order", strconv.Itoa(int(c.Order())))
	v.Set("left", strconv.FormatInt(c.Left().Microseconds(), 10))
	v.Set("budget", strconv.Itoa(c.Budget()))
	v.Set("mark", strconv.FormatUint(uint64(c.Mark()), 16))
	return v.Encode()
}

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
	if bad || !lang.IsName(id) || (org != "" && !lang.IsName(org)) {
		return model.Call{}, errors.Wrap(ErrForm, "decode call")
	}
	c := model.NewCall(model.Request(id), model.Org(org), model.Rank(rank))
	c = c.WithMark(model.Print(mark))
	return c.WithOrder(model.Order(order)).WithLeft(time.Duration(left) * time.Microsecond).WithBudget(int(budget)), nil
}

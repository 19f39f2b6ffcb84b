package codec

import (
	"net/url"
	"strconv"
	"strings"
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
		b = append(append(b, "&service="...), url.QueryEscape(string(c.Service()))...)
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

// callFields are the fields of an encoded call, unescaped.
type callFields struct {
	id, org, rank, order, left, budget, fingerprint, tag, revision, idempotencyID, service, host string
}

// field returns the field with a name, or nil if this version does not know it.
func (f *callFields) field(name string) *string {
	switch name {
	case "id":
		return &f.id
	case "org":
		return &f.org
	case "rank":
		return &f.rank
	case "order":
		return &f.order
	case "left":
		return &f.left
	case "budget":
		return &f.budget
	case "mark":
		return &f.fingerprint
	case "tag":
		return &f.tag
	case "rev":
		return &f.revision
	case "once":
		return &f.idempotencyID
	case "service":
		return &f.service
	case "host":
		return &f.host
	}
	return nil
}

// parse sets the fields from their encoded form. Of a field that occurs more than once
// the last value counts.
func (f *callFields) parse(text string) error {
	for part := range strings.SplitSeq(text, "&") {
		name, escaped, _ := strings.Cut(part, "=")
		value, err := url.QueryUnescape(escaped)
		if err != nil {
			return errors.Wrapf(ErrMalformed, "decode call: field %q", name)
		}
		if field := f.field(name); field != nil {
			*field = value
		}
	}
	return nil
}

// DecodeCall decodes the value of a header. The error wraps ErrMalformed.
func DecodeCall(text string) (model.Call, error) {
	var f callFields
	if err := f.parse(text); err != nil {
		return model.Call{}, err
	}
	rank, errRank := strconv.ParseUint(f.rank, 10, 8)
	order, errOrder := strconv.ParseUint(f.order, 10, 8)
	left, errLeft := strconv.ParseInt(f.left, 10, 64)
	budget, errBudget := strconv.ParseUint(f.budget, 10, 16)
	fingerprint, errFingerprint := strconv.ParseUint(f.fingerprint, 16, 64)
	bad := errFingerprint != nil || errRank != nil || errOrder != nil || errLeft != nil || errBudget != nil || model.Rank(rank) > model.RankLowest
	if bad || !model.Request(f.id).Valid() || (f.org != "" && !model.IsPortable(f.org)) {
		return model.Call{}, errors.Wrap(ErrMalformed, "decode call")
	}
	left = max(0, min(left, maxTimeLeft.Microseconds()))
	c := model.NewCall(model.Request(f.id), model.Org(f.org), model.Rank(rank))
	c = c.WithFingerprint(model.Fingerprint(fingerprint)).WithOrder(model.Order(order)).WithTimeLeft(time.Duration(left) * time.Microsecond).WithBudget(int(budget))
	return f.addOptional(c)
}

// addOptional adds the fields that a call may lack.
func (f *callFields) addOptional(c model.Call) (model.Call, error) {
	c = c.WithHost(f.host).WithService(model.Service(f.service))
	if f.tag != "" {
		rev, err := strconv.ParseUint(f.revision, 10, 64)
		if err != nil || !lang.IsName(f.tag) {
			return c, errors.Wrap(ErrMalformed, "decode call: key tag or revision")
		}
		c = c.WithKey(f.tag, model.Revision(rev))
	}
	if f.idempotencyID != "" {
		if !lang.IsName(f.idempotencyID) {
			return c, errors.Wrap(ErrMalformed, "decode call: idempotency id")
		}
		c = c.WithIdempotencyID(f.idempotencyID)
	}
	return c, nil
}

package admit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/model"
)

// The scale of orders is logarithmic in the rate of requests.
const (
	stepsPerOctave  = 16
	octavesBelowOne = 4 // order 0 begins at 1/16 request per second
	// rateTimeConstant is the time constant of the exponential decay with which
	// rates are measured.
	rateTimeConstant = time.Second
)

// OrderOf returns the order of a request, its place within the rank, of an
// organisation that sends rate requests per second. A hash of organisation and
// request id maps the request uniformly to a number between zero and the rate, and
// the order is the logarithm of this number. Organisations that send more thus get
// higher orders, which are shed first: a level admits every organisation up to the
// same rate, and always the same requests of it.
func OrderOf(id model.Request, org model.Org, rate float64) model.Order {
	u := float64(xxhash.Sum64String(string(org)+"/"+string(id))>>11) / (1 << 53)
	steps := stepsPerOctave * (math.Log2(u*rate) + octavesBelowOne)
	return model.Order(max(0, min(model.OrdersPerRank-1, steps)))
}

// ArrivalRate measures the request rate of each organisation at the daemon where
// the requests enter, by an exponentially decaying count. The zero value has counted
// none. It is not safe for concurrent use.
type ArrivalRate struct{ orgs map[model.Org]orgRate }

// orgRate is the request rate of an organisation.
type orgRate struct {
	rate float64 // requests per second at the last request
	last model.Instant
}

// Observe counts a request.
func (a *ArrivalRate) Observe(now model.Instant, org model.Org) {
	if a.orgs == nil {
		a.orgs = map[model.Org]orgRate{}
	}
	r := a.orgs[org]
	r.rate = r.at(now) + 1/rateTimeConstant.Seconds()
	r.last = now
	a.orgs[org] = r
}

// Rate returns an organisation's rate in requests per second, or zero for an
// unknown one.
func (a *ArrivalRate) Rate(now model.Instant, org model.Org) float64 { return a.orgs[org].at(now) }

// at returns the rate at an instant. It decays exponentially without requests.
func (r orgRate) at(now model.Instant) float64 {
	return r.rate * math.Exp(-now.Sub(r.last).Seconds()/rateTimeConstant.Seconds())
}

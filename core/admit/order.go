package admit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/model"
)

// Scale of the orders: each step is a sixteenth of an octave of rate.
const (
	orderSteps = 16
	orderShift = 4 // octaves below one request a second
	// demandTime is the time constant of a measured rate.
	demandTime = time.Second
)

// OrderOf returns the order of a request of an organisation that sends rate
// requests a second. A hash of the request places it evenly between zero and
// the rate, so that a level admits each organisation up to the same rate, and
// always the same requests.
func OrderOf(id model.Request, org model.Org, rate float64) model.Order {
	u := float64(xxhash.Sum64String(string(org)+"/"+string(id))>>11) / (1 << 53)
	steps := orderSteps * (math.Log2(u*rate) + orderShift)
	return model.Order(max(0, min(model.Orders-1, steps)))
}

// Demand measures the rate of each organisation's requests where they enter.
// The zero value has seen none.
type Demand struct{ orgs map[model.Org]arrival }

type arrival struct {
	rate float64 // requests a second
	last model.Instant
}

// Note counts a request.
func (d *Demand) Note(now model.Instant, org model.Org) {
	if d.orgs == nil {
		d.orgs = map[model.Org]arrival{}
	}
	a := d.orgs[org]
	a.rate = a.at(now) + 1/demandTime.Seconds()
	a.last = now
	d.orgs[org] = a
}

// Rate returns an organisation's rate, in requests a second.
func (d *Demand) Rate(now model.Instant, org model.Org) float64 { return d.orgs[org].at(now) }

func (a arrival) at(now model.Instant) float64 {
	return a.rate * math.Exp(-now.Sub(a.last).Seconds()/demandTime.Seconds())
}

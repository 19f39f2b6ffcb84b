package admit

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Bounds of a gate beside a target that tells its slots and its pace.
const (
	// toldPercent is the part of the told slots that is used. Many targets slow
	// down when the last of them are taken.
	toldPercent = 94
	// paceBurst is how many requests a cold target gets at once.
	paceBurst = 3
	// paceSpan is the time whose worth of paced requests may run at a time.
	paceSpan = 500 * time.Millisecond
	// paceStep is the least wait for the next paced start.
	paceStep = time.Millisecond
)

// pace bounds the starts a second. The zero value bounds nothing.
type pace struct {
	rate   float64 // requests a second
	tokens float64
	when   model.Instant
}

// Told sets the limit by the slots that the target tells. Zero has the gate
// find the limit itself.
func (g *Gate) Told(slots int) {
	g.told = slots
}

// Pace bounds the requests that start, in requests a second, while the target
// is cold. Zero lifts the bound.
func (g *Gate) Pace(now model.Instant, rate float64, out *Outbox) {
	if rate == g.pace.rate {
		return
	}
	g.pace = pace{rate: rate, tokens: 1, when: now}
	g.Tick(now, out)
}

// Due returns how long after now a paced request that waits may start, and
// whether one waits.
func (g *Gate) Due(now model.Instant) (time.Duration, bool) {
	if g.pace.rate == 0 || g.queue.size == 0 || len(g.running) >= g.Limit() {
		return 0, false
	}
	lacking := time.Duration((1 - g.pace.level(now)) / g.pace.rate * float64(time.Second))
	return max(paceStep, lacking), true
}

func (p *pace) level(now model.Instant) float64 {
	return min(paceBurst, p.tokens+p.rate*now.Sub(p.when).Seconds())
}

// ready reports whether a request may start.
func (p *pace) ready(now model.Instant) bool { return p.rate == 0 || p.level(now) >= 1 }

// take counts a request that starts.
func (p *pace) take(now model.Instant) {
	if p.rate > 0 {
		p.tokens, p.when = p.level(now)-1, now
	}
}

// bound returns a limit lowered to what the pace fills.
func (p *pace) bound(limit int) int {
	if p.rate == 0 {
		return limit
	}
	return max(MinLimit, min(limit, int(math.Ceil(p.rate*paceSpan.Seconds()))))
}

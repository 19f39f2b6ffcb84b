package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/canary"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// ErrOtherOrder means that the state of a rollout was not written because its order is
// no longer in force.
var ErrOtherOrder = errors.New("another order is in force")

// Orders sets the orders of rollouts and logs them.
func (s *configSink) Orders(ctx context.Context, orders []canary.Order, relisted bool) error {
	c := ctrl.NewOrdersRead(orders)
	if relisted {
		c = c.AsRelisted()
	}
	return s.daemon.loop.Do(ctx, c)
}

const (
	// rolloutRetry is the wait after a failed write of a state, plus a random part of
	// the same length.
	rolloutRetry = 250 * time.Millisecond
	// otherOrderRetry is the same when another order is in force, of which this daemon
	// is about to hear.
	otherOrderRetry = 2 * time.Second
)

// syncRollouts writes the states of rollouts that this daemon should write, until ctx
// ends. It returns nil.
func (d *Daemon) syncRollouts(ctx context.Context) error {
	for {
		hasWrites := func(v *ctrl.View) bool { return len(v.RolloutWrites()) > 0 }
		if err := d.loop.Await(ctx, hasWrites); err != nil {
			return nil //nolint:nilerr // the daemon ends
		}
		for _, w := range d.loop.View().RolloutWrites() {
			d.writeRollout(ctx, w)
		}
	}
}

// writeRollout writes one state, and waits if that failed.
func (d *Daemon) writeRollout(ctx context.Context, w canary.Write) {
	stored, err := d.platform.SetRollout(ctx, w.Order(), w.State())
	if err == nil {
		_ = d.loop.Do(ctx, ctrl.NewRolloutStored(w.Order(), stored))
		return
	}
	d.log.Warn("rollout state not written", "service", w.Order().Service(), "state", canary.StateName(w.State()), "error", err)
	wait := rolloutRetry
	if errors.Is(err, ErrOtherOrder) {
		wait = otherOrderRetry
	}
	_ = clock.Sleep(ctx, wait+rand.N(wait))
}

// rolloutLog logs changes of the state of rollouts.
type rolloutLog struct {
	log    hclog.Logger
	states map[model.Service]rolloutLine
}

// rolloutLine is what was logged of an order.
type rolloutLine struct {
	order canary.Order
	state canary.State
}

// observe logs the orders of a view whose state has changed.
func (r *rolloutLog) observe(v *ctrl.View) {
	if len(v.Rollouts()) == 0 && len(r.states) == 0 {
		return
	}
	states := make(map[model.Service]rolloutLine, len(v.Rollouts()))
	for _, s := range v.Rollouts() {
		line := rolloutLine{order: s.Order(), state: s.State()}
		states[s.Order().Service()] = line
		if r.states[s.Order().Service()] == line {
			continue
		}
		r.log.Info("rollout", "service", s.Order().Service(), "version", s.Order().Version(), "state", canary.StateName(s.State()),
			"reason", s.Reason(), "after", s.Elapsed(), "limit", s.Order().Duration(),
			"answers", s.New().Answers(), "failed", s.New().Failed(), "slow", s.New().Slow(), "took", s.New().MeanTime(),
			"oldanswers", s.Old().Answers(), "oldfailed", s.Old().Failed(), "oldslow", s.Old().Slow(), "oldtook", s.Old().MeanTime())
	}
	for service, line := range r.states {
		if _, ok := states[service]; !ok {
			r.log.Info("rollout", "service", service, "version", line.order.Version(), "state", "deleted")
		}
	}
	r.states = states
}

package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/core/canary"
	"anvilstand/core/conf"
	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

// Platform connects a daemon to the platform that it runs on: key-value store,
// encoding of requests, configuration, and status of the target.
type Platform interface {
	store.Store
	form.Form
	// Follow passes what the operators write on the platform to sink until ctx
	// ends.
	Follow(ctx context.Context, sink ConfigSink) error
	// SetRollout writes the state of a rollout on the condition that its order is in
	// force and that it has no final state, and returns the state that is then stored.
	// It fails with ErrOtherOrder if another order, or none, is in force.
	SetRollout(ctx context.Context, o canary.Order, s canary.State) (canary.State, error)
	// StatusHandler returns the handler at which the target reports its status.
	StatusHandler(sink StatusSink) http.Handler
}

// ConfigSink receives what the operators write on the platform, and whether it can be
// read.
type ConfigSink interface {
	// Configure puts a configuration in force. It has no effect unless the
	// revision is higher than that of the last one.
	Configure(ctx context.Context, c *conf.Config) error
	// Evacuate sets the failure domains that are evacuated, in place of those
	// set before.
	Evacuate(ctx context.Context, out []model.Domain) error
	// Orders sets the orders of rollouts in force, in place of those set before.
	// Relisted means that changes may have been missed.
	Orders(ctx context.Context, orders []canary.Order, relisted bool) error
	// Confirmed records that the store confirmed a revision to be that of the last
	// change by the operators.
	Confirmed(revision uint64)
	// IsCurrent reports whether the store has lately confirmed, to this daemon or to
	// another that told it, that the operators have changed nothing after a revision.
	// It is false for a daemon that others rely on.
	IsCurrent(after uint64) bool
	// AwaitOutdated waits until IsCurrent has become false, or returns the error of
	// ctx when it ends earlier.
	AwaitOutdated(ctx context.Context, after uint64) error
	// ConfigInvalid reports a configuration that cannot be decoded.
	ConfigInvalid(err error)
	// StoreResult reports the outcome of a store call: nil when the store answered.
	StoreResult(err error)
}

// StatusSink receives the status that the target reports. A status is in force when a
// method returns. The error means that the target's stop could not be recorded, so that
// a restart of the daemon would forget it: the report must not be confirmed.
type StatusSink interface {
	// UpdateTarget takes a status.
	UpdateTarget(ctx context.Context, s life.Status) error
	// DeregisterTarget takes the report of the target that it is gone.
	DeregisterTarget(ctx context.Context, s life.Stop) error
}

// ReadyAddress returns the address at which the platform checks readiness, as
// host:port. It may only be called on a daemon created by NewOnPlatform.
func (d *Daemon) ReadyAddress() string { return d.listeners[3].Addr().String() }

// StatusAddress returns the address at which the target reports its status, as
// host:port. It may only be called on a daemon created by NewOnPlatform.
func (d *Daemon) StatusAddress() string { return d.listeners[4].Addr().String() }

// followStore keeps the control state up to date with the store and, on a
// platform, with its configuration.
func (d *Daemon) followStore(ctx context.Context) error {
	if d.platform == nil {
		return watch.Sync(ctx, d.store, d.loop, len(d.settings.Seeds()) > 0)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return watch.SyncMembers(ctx, d.store, d.loop) })
	g.Go(func() error { return d.platform.Follow(ctx, &configSink{daemon: d}) })
	g.Go(func() error { return d.syncRollouts(ctx) })
	g.Go(func() error {
		d.restoreTarget(ctx)
		return d.stops.FollowEra(ctx)
	})
	return g.Wait()
}

// restoreTarget takes the recorded stops of the target as soon as the store answers.
func (d *Daemon) restoreTarget(ctx context.Context) {
	history, err := d.stops.Load(ctx)
	if err != nil {
		return // the daemon ends
	}
	d.front.RestoreTarget(history)
	d.log.Info("target stops read", "stops", len(history.Stops()), "partial", history.Partial())
	for _, s := range history.Stops() {
		d.log.Info("target stopped earlier", "id", s.ID(), "started", s.ProcessStarted())
	}
}

// noteRestore counts and logs that the store was restored from an older copy.
func (d *Daemon) noteRestore(before, after uint64) {
	d.restores.Add(1)
	d.log.Warn("store restored", "era", after, "before", before)
}

// configSink passes the platform's configuration to the control state.
type configSink struct {
	daemon    *Daemon
	storeDown atomic.Bool
}

// Configure puts a configuration in force and logs its revision.
func (s *configSink) Configure(ctx context.Context, c *conf.Config) error {
	before := s.daemon.loop.View().Config().Revision()
	if err := s.daemon.loop.Do(ctx, ctrl.NewConfigured(c)); err != nil {
		return err
	}
	s.daemon.log.Info("configuration", "revision", uint64(c.Revision()), "before", uint64(before))
	if unusable := c.UnusableOrgs(); len(unusable) > 0 {
		s.daemon.log.Warn("organisations refused: no header can carry their names", "count", len(unusable), "orgs", unusable[:min(len(unusable), maxLoggedNames)])
	}
	return nil
}

// Evacuate sets the evacuated failure domains and logs them.
func (s *configSink) Evacuate(ctx context.Context, out []model.Domain) error {
	if err := s.daemon.loop.Do(ctx, ctrl.NewEvacuated(out)); err != nil {
		return err
	}
	s.daemon.log.Info("evacuated", "domains", out)
	return nil
}

// Confirmed records a confirmed revision, also for the daemons that rely on this one.
func (s *configSink) Confirmed(revision uint64) {
	if revision > 0 {
		s.daemon.loop.Post(ctrl.NewConfirmed(revision))
	}
}

// maxConfirmedAge is how long ago the store may have confirmed to some daemon that
// there is no later change. Watchers ask it every 2 s, and their heartbeats come every
// second or so.
const maxConfirmedAge = 5 * time.Second

// IsCurrent reports whether a daemon, this one included, has heard from the store within
// maxConfirmedAge and no change after a revision is known. It is false for a watcher of
// the failure domain.
func (s *configSink) IsCurrent(after uint64) bool {
	v := s.daemon.loop.View()
	_, watcher := v.WatcherIndex()
	f := v.Freshness()
	return !watcher && f.Version() > 0 && f.Version() <= after && f.Age() < maxConfirmedAge
}

// AwaitOutdated waits until IsCurrent is false. It looks at each new view, at least one
// a second.
func (s *configSink) AwaitOutdated(ctx context.Context, after uint64) error {
	return s.daemon.loop.Await(ctx, func(*ctrl.View) bool { return !s.IsCurrent(after) })
}

// ConfigInvalid counts and logs a configuration that cannot be decoded. The last valid
// one stays in force.
func (s *configSink) ConfigInvalid(err error) {
	s.daemon.loop.Post(ctrl.ValueRefused{})
	s.daemon.log.Error("configuration refused", "error", err)
}

// StoreResult logs when the store becomes unreachable and when it answers again.
func (s *configSink) StoreResult(err error) {
	if err == nil {
		s.daemon.loop.Post(ctrl.StoreReached{})
	}
	if s.storeDown.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		s.daemon.log.Warn("store lost", "error", err)
		return
	}
	s.daemon.log.Info("store reached")
}

// statusSink passes the target's status to the front, which admits requests
// according to it.
type statusSink struct{ *Daemon }

// recordTimeout limits the record of a stop. The target waits a second for the answer to
// its report.
const recordTimeout = 800 * time.Millisecond

// UpdateTarget updates the target's status. It logs the first status after each start of
// the target.
func (s statusSink) UpdateTarget(ctx context.Context, status life.Status) error {
	isNewStart := s.front.UpdateTarget(status)
	_ = s.loop.NoteVersion(ctx, s.front.TargetVersion()) // fails if the target has gone
	if isNewStart {
		s.log.Info("target", "id", status.ID(), "state", life.StateName(status.State()), "sequence", status.Sequence(), "cold", status.RemainingWarmup())
	}
	if stop, ok := status.Stop(); ok {
		return s.record(ctx, stop)
	}
	return nil
}

// DeregisterTarget deregisters the target.
func (s statusSink) DeregisterTarget(ctx context.Context, stop life.Stop) error {
	stop = s.front.DeregisterTarget(stop)
	s.log.Info("target", "id", stop.ID(), "state", life.StateName(life.Deregistered{}), "started", stop.ProcessStarted())
	return s.record(ctx, stop)
}

func (s statusSink) record(ctx context.Context, stop life.Stop) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.stops.Add(ctx, stop)
	if err != nil {
		s.log.Warn("target stop not recorded", "id", stop.ID(), "error", err)
	}
	return err
}

// serveReady answers the platform's readiness check: 200 from the first
// configuration until a planned stop begins, 503 otherwise.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.front.Draining() || d.loop.View().Config().Revision() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

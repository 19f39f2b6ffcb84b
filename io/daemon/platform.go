package daemon

import (
	"context"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"anvilstand/core/conf"
	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

// Platform is what a daemon needs of the platform that it runs on.
type Platform interface {
	store.Store
	form.Form
	// Follow hands on what the operators wrote, until ctx ends.
	Follow(ctx context.Context, sink Sink) error
	// Beats serves what the target says of itself.
	Beats(h Hearer) http.Handler
}

// Sink takes what the operators wrote on the platform.
type Sink interface {
	// Configure takes a configuration. One older than that in force changes
	// nothing.
	Configure(ctx context.Context, c *conf.Config) error
	// Evacuate takes the failure domains that are out of service.
	Evacuate(ctx context.Context, out []model.Domain) error
	// Unread takes the error of a configuration that does not read.
	Unread(err error)
	// Reached tells that the store answered, or by an error that it did not.
	Reached(err error)
}

// Hearer takes what the target beside the daemon says of itself.
type Hearer interface {
	// Hear takes the target's word.
	Hear(s life.Status)
	// Leave takes the word of a target with an id that it leaves.
	Leave(id string)
}

// ReadyAddress returns where the platform asks whether the daemon takes callers.
func (d *Daemon) ReadyAddress() string { return d.listeners[3].Addr().String() }

// BeatsAddress returns where the target tells of itself.
func (d *Daemon) BeatsAddress() string { return d.listeners[4].Addr().String() }

// followStore keeps the store and the control state in step.
func (d *Daemon) followStore(ctx context.Context) error {
	if d.platform == nil {
		return watch.Follow(ctx, d.store, d.loop, len(d.prefs.Seeds()) > 0)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return watch.Members(ctx, d.store, d.loop) })
	g.Go(func() error { return d.platform.Follow(ctx, &configSink{daemon: d}) })
	return g.Wait()
}

// configSink brings what the operators wrote to the control state.
type configSink struct {
	daemon *Daemon
	storeDown   atomic.Bool
}

// Configure takes a configuration.
func (s *configSink) Configure(ctx context.Context, c *conf.Config) error {
	old := s.daemon.loop.View().Config().Revision()
	if err := s.daemon.loop.Tell(ctx, ctrl.NewConfigured(c)); err != nil {
		return err
	}
	s.daemon.log.Info("configuration", "revision", uint64(c.Revision()), "before", uint64(old))
	return nil
}

// Evacuate takes the failure domains that are out of service.
func (s *configSink) Evacuate(ctx context.Context, out []model.Domain) error {
	if err := s.daemon.loop.Tell(ctx, ctrl.NewEvacuated(out)); err != nil {
		return err
	}
	s.daemon.log.Info("evacuated", "domains", out)
	return nil
}

// Unread counts and logs a configuration that does not read. The last good one
// stays in force.
func (s *configSink) Unread(err error) {
	s.daemon.loop.Post(ctrl.Refused{})
	s.daemon.log.Error("configuration refused", "error", err)
}

// Reached logs that the store was lost or is back.
func (s *configSink) Reached(err error) {
	if err == nil {
		s.daemon.loop.Post(ctrl.Reached{})
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

// statusSink brings the statusSink's word to the traffic.
type statusSink struct{ *Daemon }

// Hear takes the target's word.
func (s statusSink) Hear(status life.Status) {
	if s.front.UpdateTarget(status) {
		s.log.Info("target", "id", status.ID(), "state", life.StateName(status.State()), "sequence", status.Sequence(), "cold", status.RemainingWarmup())
	}
}

// Leave takes the word of a target that it leaves.
func (s statusSink) Leave(id string) {
	s.front.DeregisterTarget(id)
	s.log.Info("target", "id", id, "state", life.StateName(life.Gone{}))
}

// serveReady tells the platform whether the daemon takes callers: when it knows
// a configuration, and until it leaves.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.front.Draining() || d.loop.View().Config().Revision() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

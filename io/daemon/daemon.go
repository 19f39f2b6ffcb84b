// Package daemon assembles one daemon from its parts and runs it: start, serve,
// planned stop. It decides the order of these steps; admission, routing and quotas
// are decided in core.
package daemon

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/quota"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
	"anvilstand/io/front"
	"anvilstand/io/guard"
	"anvilstand/io/link"
	"anvilstand/io/meter"
	"anvilstand/io/oper"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/watch"
	"anvilstand/io/wire"
)

// Daemon is the overload control daemon that runs beside one target.
type Daemon struct {
	settings     *prefs.Settings
	peerNet      wire.Network
	store        store.Store
	log          hclog.Logger
	self         fleet.Member
	loop         *ctrl.Loop
	front        *front.Front
	oper         *oper.Oper
	listeners    []net.Listener
	rawListeners []net.Listener // the same without the guard, for wire.Drain
	meter        *meter.Meter
	guard        *guard.Guard
	platform     Platform // nil unless created by NewOnPlatform
	stops        *watch.StopRecorder
	restores     atomic.Uint64 // of the store, seen by this process
}

// New creates a daemon and opens its listeners; Run serves them. An address with
// port 0 takes any free port.
func New(settings *prefs.Settings, n wire.Network, s store.Store, log hclog.Logger) (*Daemon, error) {
	return open(&Daemon{settings: settings, store: s, log: log}, n, form.Plain{})
}

// NewOnPlatform creates a daemon that runs on a platform, which is also its key-value
// store. Its target gets requests only while its reported status allows it.
func NewOnPlatform(settings *prefs.Settings, n wire.Network, platform Platform, log hclog.Logger) (*Daemon, error) {
	d, err := open(&Daemon{settings: settings, store: platform, log: log, platform: platform}, n, platform)
	if err == nil {
		d.stops = watch.NewStopRecorder(platform, settings.Domain(), settings.Name())
		d.front.RequireTargetStatus()
	}
	return d, err
}

// open opens the listeners of d and creates its parts. The listeners come first, as
// the port that peers use may be chosen by the operating system.
func open(d *Daemon, n wire.Network, fm form.Form) (*Daemon, error) {
	settings := d.settings
	callerNet, peerNet, err := tlsNetworks(settings, n)
	if err != nil {
		return nil, err
	}
	d.peerNet = peerNet
	d.meter = meter.New()
	d.guard = guard.New(headBudget(settings.Memory()), wire.MaxOpenConns(), d.meter.CountClosed, d.log)
	if err := d.listen(callerNet, peerNet, callerNet); err != nil {
		return nil, err
	}
	d.meter.CounterFunc("store_restores_total", "Restores of the store from an older copy.", func() float64 { return float64(d.restores.Load()) })
	address := cmp.Or(settings.Announce(), d.listeners[1].Addr().String())
	d.self = fleet.NewMember(settings.Name(), settings.Domain(), settings.Service(), address).WithIncarnation(newIncarnation())
	d.loop = ctrl.New(d.self, codec.Packer{}, settings.Seeds())
	d.loop.SetLeaseTTL(settings.LeaseTTL())
	d.loop.SetSlack(quota.NewSlack(settings.ExcessRatio(), settings.ExcessTokens(), settings.ExcessSpan()))
	d.front = front.New(settings, fm, d.peerNet, n, d.loop, d.meter, d.log)
	d.loop.OnView((&memberLog{log: d.log}).observe)
	d.loop.OnView((&leaseLog{log: d.log, count: d.meter.CountLease}).observe)
	d.meter.GaugeFunc("leases_lapsed", "Quota leases of this daemon that neither the store nor other daemons renew.", func() float64 {
		return float64(countLapsed(d.loop.View()))
	})
	d.loop.OnView((&rolloutLog{log: d.log}).observe)
	d.meter.GaugeFunc("unusable_orgs", "Organisations whose requests are refused because no header can carry their names.", func() float64 {
		return float64(len(d.loop.View().Config().UnusableOrgs()))
	})
	d.addGuardMetrics()
	d.oper = oper.New(settings, d.loop, d.store, d.meter, d.front.Trace, d.front.Decide, d.log)
	return d, nil
}

// tlsNetworks returns the network on which callers and operators connect and the
// one between daemons: n itself, or TLS over it when the settings name a
// certificate.
func tlsNetworks(settings *prefs.Settings, n wire.Network) (callers, peers wire.Network, err error) {
	if !settings.Secured() {
		return n, n, nil
	}
	cert, err := wire.LoadCertificate(settings.Certificate())
	if err != nil {
		return nil, nil, err
	}
	return wire.NewServerTLS(n, cert), wire.NewMutualTLS(n, cert), nil
}

// listen opens the listeners on their networks, in the order front, peer, oper, ready,
// beats; the last two only on a platform. The handlers in servers have the same order,
// and the methods that return addresses rely on it.
func (d *Daemon) listen(front, peer, oper wire.Network) error {
	networks := map[string]wire.Network{"front": front, "peer": peer, "oper": oper, "ready": front, "beats": front}
	addresses := map[string]string{
		"front": d.settings.Front(), "peer": d.settings.Peer(), "oper": d.settings.Oper(),
		"ready": d.settings.Ready(), "beats": d.settings.StatusAddress(),
	}
	names := []string{"front", "peer", "oper"}
	if d.platform != nil {
		names = append(names, "ready", "beats")
	}
	for _, name := range names {
		ln, err := networks[name].Listen(addresses[name])
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen for %s at %s", name, addresses[name])
		}
		d.rawListeners = append(d.rawListeners, ln)
		d.listeners = append(d.listeners, d.guard.Listen(ln, name, d.settings.MaxConns(), d.limitsOf(name)))
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
}

// FrontAddress returns the address for callers, as host:port.
func (d *Daemon) FrontAddress() string { return d.listeners[0].Addr().String() }

// OperAddress returns the address for operators, as host:port.
func (d *Daemon) OperAddress() string { return d.listeners[2].Addr().String() }

// Loop returns the loop that owns the control state.
func (d *Daemon) Loop() *ctrl.Loop { return d.loop }

// Run serves until ctx ends, then makes a planned stop: it announces that it
// leaves, accepts requests until the others know, then refuses new ones, waits
// for those in progress, and returns. The error is that of the first part that
// failed, nil after a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serveCtx := errgroup.WithContext(serveCtx)
	requestCtx, endRequests := context.WithCancelCause(serveCtx)
	defer endRequests(nil)
	servers := d.servers(requestCtx)
	for i, s := range servers {
		g.Go(func() error { return serve(s, d.listeners[i]) })
	}
	links := link.New(serveCtx, g, d.peerNet, d.self, d.settings.Secret(), d.log, registry{loop: d.loop})
	g.Go(func() error { return d.loop.Run(serveCtx, links) })
	g.Go(func() error { return d.followStore(serveCtx) })
	if eras, ok := d.store.(store.Restorable); ok {
		g.Go(func() error { return watch.FollowEra(serveCtx, eras, d.loop, d.noteRestore) })
	}
	g.Go(func() error { return watch.SyncLeases(serveCtx, d.store, d.loop) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
		}
		d.shutdown(servers, endRequests)
		stop()
		return nil
	})
	d.log.Info("serving", "front", d.FrontAddress(), "peer", d.self.Address(), "oper", d.OperAddress())
	return g.Wait()
}

// Trace returns this daemon's decisions about a request, one per line. It is
// empty when no trace of the request is in memory.
func (d *Daemon) Trace(id model.Request) []string { return d.front.Trace(id) }

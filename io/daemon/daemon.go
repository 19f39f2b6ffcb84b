// Package daemon puts the parts of one daemon together and runs them.
package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
	"anvilstand/io/front"
	"anvilstand/io/link"
	"anvilstand/io/meter"
	"anvilstand/io/oper"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/watch"
	"anvilstand/io/wire"
)

// Daemon is one daemon beside one target.
type Daemon struct {
	prefs *prefs.Prefs
	peerNet  wire.Network
	store store.Store
	log   hclog.Logger
	self  fleet.Member
	loop  *ctrl.Loop
	front *front.Front
	oper  *oper.Oper
	listeners   []net.Listener
	rawListeners   []net.Listener // the same listeners, to be drained
	platform    Platform       // nil without one
}

// New opens the daemon's listeners. An address with port 0 takes any free port.
func New(p *prefs.Prefs, n wire.Network, s store.Store, log hclog.Logger) (*Daemon, error) {
	return open(&Daemon{prefs: p, store: s, log: log}, n, form.Plain{})
}

// NewOn opens the listeners of a daemon that runs on a platform.
func NewOn(p *prefs.Prefs, n wire.Network, platform Platform, log hclog.Logger) (*Daemon, error) {
	d, err := open(&Daemon{prefs: p, store: platform, log: log, platform: platform}, n, platform)
	if err == nil {
		d.front.RequireTargetStatus()
	}
	return d, err
}

func open(d *Daemon, n wire.Network, fm form.Form) (*Daemon, error) {
	p := d.prefs
	callerNet, peerNet, err := tlsNetworks(p, n)
	if err != nil {
		return nil, err
	}
	d.peerNet = peerNet
	if err := d.listen(callerNet, peerNet, callerNet); err != nil {
		return nil, err
	}
	m := meter.New()
	address := cmp.Or(p.Announce(), d.listeners[1].Addr().String())
	d.self = fleet.NewMember(p.Name(), p.Domain(), p.Service(), address).WithIncarnation(newIncarnation())
	d.loop = ctrl.New(d.self, codec.Packer{}, p.Seeds())
	d.loop.SetHold(p.Hold())
	d.loop.SetSlack(quota.NewSlack(p.Excess(), p.Slack(), p.Span()))
	d.front = front.New(p, fm, d.peerNet, n, d.loop, m, d.log)
	d.oper = oper.New(p, d.loop, d.store, m, d.front.Trace, d.log)
	return d, nil
}

// tlsNetworks returns the networks of the callers and of the peers.
func tlsNetworks(p *prefs.Prefs, n wire.Network) (callers, peers wire.Network, err error) {
	if !p.Secured() {
		return n, n, nil
	}
	cert, err := wire.LoadCertificate(p.Certificate())
	if err != nil {
		return nil, nil, err
	}
	return wire.NewServerTLS(n, cert), wire.NewMutualTLS(n, cert), nil
}

func (d *Daemon) listen(front, peer, oper wire.Network) error {
	networks := map[string]wire.Network{"front": front, "peer": peer, "oper": oper, "ready": front, "beats": front}
	addresses := map[string]string{
		"front": d.prefs.Front(), "peer": d.prefs.Peer(), "oper": d.prefs.Oper(),
		"ready": d.prefs.Ready(), "beats": d.prefs.Beats(),
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
		d.listeners = append(d.listeners, netutil.LimitListener(ln, d.prefs.Conns()))
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
}

// FrontAddress returns where callers connect.
func (d *Daemon) FrontAddress() string { return d.listeners[0].Addr().String() }

// OperAddress returns where operators connect.
func (d *Daemon) OperAddress() string { return d.listeners[2].Addr().String() }

// Loop returns the control state.
func (d *Daemon) Loop() *ctrl.Loop { return d.loop }

// Run serves until ctx ends, then makes a planned stop: it announces that it
// leaves, refuses new work, finishes what runs, and returns.
func (d *Daemon) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serveCtx := errgroup.WithContext(serveCtx)
	servers := d.servers(serveCtx)
	for i, s := range servers {
		g.Go(func() error { return serve(s, d.listeners[i]) })
	}
	links := link.New(serveCtx, g, d.peerNet, d.self, d.prefs.Secret(), d.log, registry{loop: d.loop})
	g.Go(func() error { return d.loop.Run(serveCtx, links) })
	g.Go(func() error { return d.followStore(serveCtx) })
	g.Go(func() error { return watch.Shares(serveCtx, d.store, d.loop) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
		}
		d.shutdown(servers)
		stop()
		return nil
	})
	d.log.Info("serving", "front", d.FrontAddress(), "peer", d.self.Address(), "oper", d.OperAddress())
	return g.Wait()
}

func (d *Daemon) shutdown(servers []*http.Server) {
	d.log.Info("leaving")
	d.front.StartDrain()
	ctx, cancel := context.WithTimeout(context.Background(), d.prefs.Grace()*graceTenths/10)
	defer cancel()
	settleEnd := time.Now().Add(d.prefs.Settle())
	_ = d.loop.Tell(ctx, ctrl.Depart{})
	d.awaitHandover(ctx)
	_ = clock.Sleep(ctx, time.Until(settleEnd))
	for _, ln := range d.rawListeners {
		_ = wire.Drain(ln)
	}
	_ = clock.Sleep(ctx, min(lingerTime, d.prefs.Settle()))
	closeErr := d.front.Shutdown(ctx)
	for _, s := range servers {
		closeErr = errors.Join(closeErr, s.Shutdown(ctx))
	}
	// A connection that was accepted while its listener closed is served still.
	_ = clock.Sleep(ctx, min(lingerTime, d.prefs.Settle()))
	for _, s := range servers {
		_ = s.Close()
	}
	d.front.CloseIdleConnections()
	d.log.Info("left", "cut", closeErr != nil)
}

// awaitHandover waits until others know that this daemon leaves and have what it
// held. It is bounded as a whole, so that what was taken last has time to end.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	d.awaitMemberList(ctx)
	d.awaitLeases(ctx)
}

// awaitMemberList waits for the record to say that this daemon leaves, if there is
// another to write it.
func (d *Daemon) awaitMemberList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	_ = d.loop.Await(ctx, func(v *ctrl.View) bool {
		others := false
		for _, m := range v.Members() {
			if m == v.Self() {
				return true
			}
			others = others || (m.Domain() == v.Self().Domain() && m.Name() != v.Self().Name() && !m.Leaving())
		}
		return !others
	})
}

// awaitLeases waits until the titles are resigned, so that others take them
// over at once.
func (d *Daemon) awaitLeases(ctx context.Context) {
	_ = d.loop.Await(ctx, func(v *ctrl.View) bool { return v.Titles() == 0 })
}

// Bounds of the listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeaderBytes     = 64 << 10 // bytes
	// lingerTime is how long the process lives on after its last answer, so
	// that the end of the process does not reset a connection whose caller has
	// not read it yet.
	lingerTime    = time.Second
	memberListTimeout = time.Second
	// graceTenths is the part of the grace, in tenths, that a stop takes at most.
	// The rest is for the process to end in.
	graceTenths = 9
	// handoverTimeout bounds the wait for the titles of shares to be resigned, and
	// for the record.
	handoverTimeout = 2 * time.Second
)

// servers returns the servers of the listeners. Their requests end with ctx.
func (d *Daemon) servers(ctx context.Context) []*http.Server {
	handlers := []http.Handler{d.front.CallerHandler(), d.peerHandler(), d.oper.Handler()}
	if d.platform != nil {
		handlers = append(handlers, http.HandlerFunc(d.serveReady), d.platform.Beats(statusSink{d}))
	}
	servers := make([]*http.Server, 0, len(handlers))
	for _, h := range handlers {
		servers = append(servers, &http.Server{
			Handler:           h,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		})
	}
	return servers
}

// peerHandler serves the other daemons: their requests below /relay, their control
// messages at /link.
func (d *Daemon) peerHandler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Handle("/link", link.Accept(d.self.Incarnation(), d.prefs.Secret(), d.log, func(ctx context.Context, p peer.Envelope) error {
		return d.loop.Tell(ctx, ctrl.NewHeard(p))
	}))
	m.Handle("/claim", d.front.ClaimHandler())
	m.PathPrefix("/relay").Handler(d.front.RelayHandler())
	return m
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", ln.Addr())
	}
	return nil
}

// Trace returns what this daemon decided about a request, a line a step.
func (d *Daemon) Trace(id model.Request) []string { return d.front.Trace(id) }

// Package front is the request path of a daemon: it accepts requests from
// callers over HTTP, relays each to the daemon beside the chosen target, and
// forwards it from there to the target.
package front

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/once"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
	"anvilstand/io/meter"
	"anvilstand/io/prefs"
	"anvilstand/io/wire"
)

// Front handles the traffic of one daemon. Its goroutines read the views that
// the control loop publishes and never change control state.
type Front struct {
	prefs             *prefs.Settings
	form              form.Form
	target            targetState
	splitter          splitter
	downstream        downstreamLevels
	loop              *ctrl.Loop
	meter             *meter.Meter
	clock             clock.Clock
	peerAuthorization string
	targetURL         *url.URL
	admission         admission
	tokens            tokenCache
	picker            picker
	running           runningRequests
	retryThrottle     retryThrottle
	idempotency       idempotencyRegistry
	traces            traces
	active            activeRequests
	targetDrain       drainState
	avoided           avoidList
	rndMu             sync.Mutex
	rnd               *rand.Rand
	// peerTransport and targetTransport are used for requests that may be sent
	// twice. The fresh transports are used for the others: they don't reuse a
	// connection that has been idle for long, as the other end may have closed
	// it.
	peerTransport        *http.Transport
	freshPeerTransport   *http.Transport
	targetTransport      *http.Transport
	freshTargetTransport *http.Transport
	draining             atomic.Bool // the daemon drains
	shuttingDown         atomic.Bool // new requests are refused
	inFlight             inFlight
}

// New returns the traffic side of a daemon. It reaches the other daemons over
// the network peers and its target over the network target. It registers with
// the control loop l for new views.
func New(p *prefs.Settings, fm form.Form, peers, target wire.Network, l *ctrl.Loop, m *meter.Meter, log hclog.Logger) *Front {
	c := clock.New()
	base, _ := url.Parse(p.Target())
	f := &Front{
		prefs:             p,
		form:              fm,
		loop:              l,
		meter:             m,
		clock:             c,
		peerAuthorization: form.BearerPrefix + p.Secret(),
		targetURL:         base,
		admission:         admission{clock: c},
		tokens:            tokenCache{core: l.TokenCache()},
		targetDrain:       drainState{clock: c},
		picker:            picker{clock: c, rnd: newRand()},
		rnd:               newRand(),
		idempotency: idempotencyRegistry{
			core: once.NewRegistry(p.Name(), p.IdempotencyWindow()),
			self: once.NewProcess(p.Name(), randomID()),
		},
		peerTransport:        newTransport(peers, idleTimeout),
		freshPeerTransport:   newTransport(peers, freshIdleTimeout),
		targetTransport:      newTransport(target, idleTimeout),
		freshTargetTransport: newTransport(target, freshIdleTimeout),
		inFlight:             inFlight{clock: c, loop: l},
	}
	f.downstream = downstreamLevels{clock: c}
	f.traces.log = log
	f.target = targetState{clock: c, admission: &f.admission, loop: l, service: p.Service()}
	l.OnView(f.Observe)
	return f
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Bounds of pooled connections.
const (
	// idleTimeout is how long an idle connection is kept for reuse.
	idleTimeout = 10 * time.Second
	// freshIdleTimeout is the same for requests that must not be sent twice.
	freshIdleTimeout      = 500 * time.Millisecond
	maxIdlePerHost        = 64
	expectContinueTimeout = 2 * time.Second
	maxHeaderBytes        = 64 << 10 // bytes
)

func newTransport(n wire.Network, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            countingDialer(n),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  expectContinueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

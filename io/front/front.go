// Package front carries the requests of a daemon over HTTP: from the caller, to
// the daemon beside the chosen target, from there to the target, and the
// response back. A request meets two daemons: the entry daemon accepts it, picks
// the target and retries (CallerHandler); the daemon beside the target claims its
// idempotency key, admits it and sends it (RelayHandler). They may be the same
// one, which then relays nothing.
//
// The decisions are those of packages conf, quota, route, retry, admit, life,
// crash and once. Front calls them under its locks and does what they decide. It
// changes no membership, quota lease or configuration: packages gossip, quota
// and change do, in the control loop.
package front

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

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
	peerAuthorization string // value of the header Authorization between daemons
	targetURL         *url.URL
	admission         admission // requests that wait for the target or run there
	tokens            tokenWaiter
	picker            picker
	entryShedder      entryShedder
	running           runningRequests // at the target, by the token of their calls
	retryThrottle     retryThrottle
	idempotency       idempotencyRegistry
	traces            traces
	active            activeRequests // handlers in progress, awaited by Shutdown
	relayed           relayedRequests
	targetDrain       drainState // according to the target's responses
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
	draining             atomic.Bool // the daemon drains for a planned stop
	// stopEnd is when the requests in progress are ended, zero for no limit. It is nil
	// until Shutdown.
	stopEnd atomic.Pointer[time.Time]
	// waitsEnd is closed when the requests that wait for a target are withdrawn.
	waitsEnd   chan struct{}
	crashWatch crashWatch    // finds requests that crash the target
	answers    *memoryBudget // for responses that their readers have not taken yet
	bodies     *memoryBudget // for request bodies that may be sent again
	// readers read bodies ahead. Each ends with its request or the caller's connection.
	readers errgroup.Group
}

// New returns the traffic side of a daemon. It reaches the other daemons over
// the network peers and its target over the network target. It registers with
// the control loop l for new views.
func New(p *prefs.Settings, fm form.Form, peers, target wire.Network, l *ctrl.Loop, m *meter.Meter, log hclog.Logger) *Front {
	c := clock.New()
	base, _ := url.Parse(p.Target())
	peerLimits := connLimits{stall: p.StallTimeout(), lines: maxPeerLines}
	targetLimits := connLimits{stall: p.StallTimeout(), lines: maxTargetLines}
	f := &Front{
		prefs:             p,
		form:              fm,
		loop:              l,
		meter:             m,
		clock:             c,
		peerAuthorization: form.BearerPrefix + p.Secret(),
		targetURL:         base,
		admission:         admission{clock: c, log: log},
		tokens:            tokenWaiter{core: l.TokenCache()},
		targetDrain:       drainState{clock: c},
		picker:            picker{clock: c, rnd: newRand()},
		rnd:               newRand(),
		idempotency: idempotencyRegistry{
			core: once.NewRegistry(p.Name(), p.IdempotencyWindow()),
			self: once.NewProcess(p.Name(), randomID()),
		},
		peerTransport:        newTransport(peers, pooledIdleTimeout, peerLimits),
		freshPeerTransport:   newTransport(peers, freshIdleTimeout, peerLimits),
		targetTransport:      newTransport(target, pooledIdleTimeout, targetLimits),
		freshTargetTransport: newTransport(target, freshIdleTimeout, targetLimits),
		crashWatch:           crashWatch{clock: c, loop: l},
		entryShedder:         entryShedder{clock: c, log: log},
		waitsEnd:             make(chan struct{}),
		answers:              newMemoryBudget(p.Memory() / answerShare),
		bodies:               newMemoryBudget(p.Memory() / bodyShare),
	}
	f.downstream = downstreamLevels{clock: c}
	f.traces.log = log
	m.GaugeFunc("answer_bytes", "Memory for responses that their readers have not taken yet.",
		func() float64 { return float64(f.answers.inUse()) })
	m.GaugeFunc("body_bytes", "Memory for request bodies that may be sent again.",
		func() float64 { return float64(f.bodies.inUse()) })
	f.target = targetState{clock: c, admission: &f.admission, loop: l, service: p.Service()}
	f.admission.registerMetrics(m)
	m.GaugeVecFunc("entry_fraction", "Fraction of a route's requests that is admitted where they enter, by service and route.",
		[]string{"service", "route"}, f.entryShedder.emitFractions)
	l.OnView(f.Observe)
	return f
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Parts of the memory that buffered bodies and responses may take: one in so many.
// Responses have less, as many callers can stand still at no cost to them.
const (
	bodyShare   = 8
	answerShare = 32
)

// Bounds of pooled connections.
const (
	// pooledIdleTimeout is how long an idle connection is kept for reuse.
	pooledIdleTimeout = 10 * time.Second
	// freshIdleTimeout is the same for requests that must not be sent twice.
	freshIdleTimeout = 500 * time.Millisecond
	// maxIdlePerHost is the number of idle connections that are kept to one
	// daemon, or to the target.
	maxIdlePerHost = 64
	// expectContinueTimeout is how long a peer may take to ask for a streamed
	// body, which is sent anyway after that.
	expectContinueTimeout = 2 * time.Second
)

func newTransport(n wire.Network, idle time.Duration, limits connLimits) *http.Transport {
	return &http.Transport{
		DialContext:            countingDialer(n, limits),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  expectContinueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: wire.MaxResponseHeaderBytes,
	}
}

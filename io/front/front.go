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

// Front carries the traffic of one daemon. Its goroutines read the views of
// the control loop and never change control state.
type Front struct {
	prefs   *prefs.Prefs
	form    form.Form
	beside  beside
	splits  splits
	below   below
	loop    *ctrl.Loop
	meter   *meter.Meter
	clock   clock.Clock
	secret  string
	base    *url.URL
	gate    gate
	purse   purse
	picker  picker
	running flights
	ratio   ratio
	book    book
	notes   notes
	work    work
	drain   drain
	aside   aside
	rndMu   sync.Mutex
	rnd     *rand.Rand
	// peers and target hold the connections of requests that may be sent
	// again, freshPeers and freshTarget those of the others.
	peers       *http.Transport
	freshPeers  *http.Transport
	target      *http.Transport
	freshTarget *http.Transport
	leaving     atomic.Bool
	refusing    atomic.Bool
	ward        ward
}

// New returns the traffic side of a daemon, which reaches the other daemons and
// its target over a network each.
func New(p *prefs.Prefs, fm form.Form, peers, target wire.Network, l *ctrl.Loop, m *meter.Meter, log hclog.Logger) *Front {
	c := clock.New()
	base, _ := url.Parse(p.Target())
	f := &Front{
		prefs:  p,
		form:   fm,
		loop:   l,
		meter:  m,
		clock:  c,
		secret: form.Bearer + p.Secret(),
		base:   base,
		gate:   gate{clock: c},
		purse:  purse{tokens: l.Purse()},
		drain:  drain{clock: c},
		picker: picker{clock: c, rnd: newRand()},
		rnd:    newRand(),
		book: book{
			core: once.NewBook(p.Name(), p.Window()),
			self: once.NewProcess(p.Name(), randomID()),
		},
		peers:       newTransport(peers, idleTimeout),
		freshPeers:  newTransport(peers, freshTimeout),
		target:      newTransport(target, idleTimeout),
		freshTarget: newTransport(target, freshTimeout),
		ward:        ward{clock: c, loop: l},
	}
	f.below = below{clock: c}
	f.notes.log = log
	f.beside = beside{clock: c, gate: &f.gate, loop: l, service: p.Service()}
	l.Watch(f.Observe)
	return f
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Bounds of the pooled connections.
const (
	// idleTimeout is how long a connection may be idle and used again.
	idleTimeout = 10 * time.Second
	// freshTimeout is the same for requests that must not be sent twice.
	freshTimeout = 500 * time.Millisecond
	idlePerPeer  = 64
	continueWait = 2 * time.Second
	maxHeader    = 64 << 10 // bytes
)

func newTransport(n wire.Network, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounted(n),
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueWait,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

package front

import (
	"math/rand/v2"
	"net/http"
	"time"

	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
	"anvilstand/io/prefs"
	"anvilstand/io/wire"
)

// Front carries the traffic of one daemon. Its goroutines read the views of
// the control loop and never change control state.
type Front struct {
	prefs   *prefs.Prefs
	loop    *ctrl.Loop
	meter   *meter.Meter
	clock   clock.Clock
	gate    gate
	purse   purse
	picker  picker
	running flights
	ward    ward
	peers   http.RoundTripper
	target  http.RoundTripper
}

// New returns the traffic side of a daemon, which reaches the other daemons and
// its target over a network each.
func New(p *prefs.Prefs, peers, target wire.Network, l *ctrl.Loop, m *meter.Meter) *Front {
	c := clock.New()
	return &Front{
		prefs:  p,
		loop:   l,
		meter:  m,
		clock:  c,
		gate:   gate{clock: c},
		purse:  purse{tokens: l.Purse()},
		picker: picker{clock: c, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		ward:   ward{clock: c, loop: l},
		peers:  newTransport(peers),
		target: newTransport(target),
	}
}

// Close refuses new work for a planned stop.
func (f *Front) Close() { f.gate.close() }

// Bounds of the pooled connections.
const (
	idleTimeout  = 10 * time.Second
	idlePerPeer  = 64
	continueWait = 2 * time.Second
	maxHeader    = 64 << 10 // bytes
)

func newTransport(n wire.Network) *http.Transport {
	return &http.Transport{
		DialContext:            n.DialContext,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueWait,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

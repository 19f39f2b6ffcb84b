package front

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/core/share"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
	"anvilstand/io/prefs"
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
	peers   http.RoundTripper
	target  http.RoundTripper
}

// New returns the traffic side of a daemon.
func New(p *prefs.Prefs, l *ctrl.Loop, m *meter.Meter) *Front {
	c := clock.New()
	return &Front{
		prefs:  p,
		loop:   l,
		meter:  m,
		clock:  c,
		gate:   gate{clock: c},
		purse:  purse{clock: c},
		picker: picker{rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		peers:  newTransport(),
		target: newTransport(),
	}
}

// Close refuses new work for a planned stop.
func (f *Front) Close() { f.gate.close() }

// Bounds of the pooled connections.
const (
	dialTimeout  = time.Second
	idleTimeout  = 10 * time.Second
	idlePerPeer  = 64
	continueWait = 2 * time.Second
	maxHeader    = 64 << 10 // bytes
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueWait,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// purse lets traffic goroutines spend shares.
type purse struct {
	clock  clock.Clock
	mu     sync.Mutex
	config *conf.Config
	parts  int
	even   share.Even
}

func (p *purse) spend(v *ctrl.View, org model.Org) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if v.Config() != p.config || len(v.Members()) != p.parts {
		p.config, p.parts = v.Config(), len(v.Members())
		p.even.Set(now, p.config, p.parts)
	}
	return p.even.Spend(now, org)
}

package trial

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilstand/io/clock"
)

// probes measures calls through the daemons against direct calls of the same
// target, in turn, while the trial runs.
type probes struct {
	through *hdrhistogram.Histogram
	direct  *hdrhistogram.Histogram
}

// Bounds of the histograms, in microseconds.
const (
	shortest    = 1
	longest     = 10_000_000
	digits      = 3
	probeEvery  = 10 * time.Millisecond
	milliMicros = 1000.0
	median      = 50
	tail        = 99
)

func newProbes() *probes {
	return &probes{
		through: hdrhistogram.New(shortest, longest, digits),
		direct:  hdrhistogram.New(shortest, longest, digits),
	}
}

// run probes until ctx ends.
func (p *probes) run(ctx context.Context, f *fleet) {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		t := f.targets[i%len(f.targets)]
		measure(ctx, caller, t.server.URL+"/probe", p.direct)
		measure(ctx, caller, "http://"+f.entry(i, i)+"/"+string(t.load.name)+"/probe", p.through)
		_ = clock.Sleep(ctx, probeEvery)
	}
}

func measure(ctx context.Context, caller *http.Client, url string, h *hdrhistogram.Histogram) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	began := time.Now()
	w, err := caller.Do(r)
	if err != nil {
		return
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil || w.StatusCode != http.StatusOK {
		return
	}
	_ = h.RecordValue(time.Since(began).Microseconds())
}

// added returns what the daemons add to a quantile, in milliseconds.
func (p *probes) added(quantile float64) float64 {
	return float64(p.through.ValueAtQuantile(quantile)-p.direct.ValueAtQuantile(quantile)) / milliMicros
}

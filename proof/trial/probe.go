package trial

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilstand/io/clock"
)

// probes measures the latency of calls through the daemons and of direct calls
// to the same target, alternately, while the trial runs.
type probes struct {
	throughDaemon *hdrhistogram.Histogram
	direct        *hdrhistogram.Histogram
}

// Bounds and precision of the histograms, which record microseconds, the probes'
// interval, and the reported percentiles.
const (
	minMicros         = 1
	maxMicros         = 10_000_000
	significantDigits = 3
	probeInterval     = 10 * time.Millisecond
	microsPerMilli    = 1000.0
	p50               = 50
	p99               = 99
)

func newProbes() *probes {
	return &probes{
		throughDaemon: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		direct:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// run probes one target after another until ctx ends.
func (p *probes) run(ctx context.Context, f *fleet) {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		t := f.targets[i%len(f.targets)]
		measure(ctx, caller, t.server.URL+"/probe", p.direct)
		measure(ctx, caller, "http://"+f.frontAddress(i, i)+"/"+string(t.service.name)+"/probe", p.throughDaemon)
		_ = clock.Sleep(ctx, probeInterval)
	}
}

// measure records the latency of a call that is answered with status 200.
func measure(ctx context.Context, caller *http.Client, url string, h *hdrhistogram.Histogram) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := caller.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	_ = h.RecordValue(time.Since(start).Microseconds())
}

// added returns the latency that the daemons add at a percentile, in
// milliseconds.
func (p *probes) added(percentile float64) float64 {
	return float64(p.throughDaemon.ValueAtQuantile(percentile)-p.direct.ValueAtQuantile(percentile)) / microsPerMilli
}

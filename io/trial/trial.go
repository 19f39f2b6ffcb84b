package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
)

// Report is what a trial measured.
type Report struct {
	mu     sync.Mutex
	sent   map[model.Org]int
	whole  map[model.Org]int
	inrate map[model.Org]int
	wrong  int
}

// Run runs a profile's fleet, sends its traffic for so many seconds and
// reports.
func Run(ctx context.Context, p Profile, seconds float64, seed uint64) (*Report, error) {
	f, err := startFleet(ctx, p)
	if err != nil {
		return nil, err
	}
	report := &Report{sent: map[model.Org]int{}, whole: map[model.Org]int{}, inrate: map[model.Org]int{}}
	err = f.configure(ctx, p)
	if err == nil {
		err = f.load(ctx, p, time.Duration(seconds*float64(time.Second)), seed, report)
	}
	return report, errors.Join(err, f.close())
}

func (f *fleet) load(ctx context.Context, p Profile, lasts time.Duration, seed uint64, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	caller := newCaller()
	defer caller.CloseIdleConnections()
	g := &errgroup.Group{}
	for i, t := range p.orgs {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		g.Go(func() error {
			f.send(ctx, p, t, rnd, caller, report)
			return nil
		})
	}
	return g.Wait()
}

// send draws a tenant's requests, each to a random service through a random
// daemon.
func (f *fleet) send(ctx context.Context, p Profile, t tenant, rnd *rand.Rand, caller *http.Client, report *Report) {
	g := &errgroup.Group{}
	defer func() { _ = g.Wait() }()
	for {
		gap := time.Duration(rnd.ExpFloat64() / t.sends * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		list := f.daemons[domains[rnd.IntN(len(domains))]]
		d := list[rnd.IntN(len(list))]
		path := fmt.Sprintf("/%s/item/%d", p.services[rnd.IntN(len(p.services))].name, rnd.Uint32())
		g.Go(func() error {
			report.note(t, request(caller, "http://"+d.FrontAddress()+path, path, t))
			return nil
		})
	}
}

// result is how a request ended for its caller.
type result struct {
	status int
	whole  bool
	wrong  bool
}

func request(caller *http.Client, target, path string, t tenant) result {
	r, err := http.NewRequest(http.MethodGet, target, http.NoBody)
	if err != nil {
		return result{}
	}
	r.Header.Set("Authorization", "Bearer "+keyOf(t))
	w, err := caller.Do(r)
	if err != nil {
		return result{}
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	whole := err == nil && w.StatusCode == http.StatusOK
	return result{status: w.StatusCode, whole: whole, wrong: whole && !sameItem(path, string(text))}
}

func sameItem(path, text string) bool { return len(text) > 0 && hasSuffix(path, text[:len(text)-1]) }

func hasSuffix(s, suffix string) bool {
	return len(s) >= len(suffix) && s[len(s)-len(suffix):] == suffix
}

func (r *Report) note(t tenant, got result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[t.name]++
	switch {
	case got.wrong:
		r.wrong++
	case got.whole:
		r.whole[t.name]++
	case got.status == http.StatusTooManyRequests:
		r.inrate[t.name]++
	}
}

// Broken reports whether a promise was broken: a caller got another request's
// answer.
func (r *Report) Broken() bool { return r.wrong > 0 }

// Text returns the measures as a table.
func (r *Report) Text() string {
	return fmt.Sprintf("goodput  %.4f\nworst    %.4f\ninrate   %.4f\n", r.goodput(), r.worst(), r.refused())
}

// MarshalJSON returns the measures as one JSON object.
func (r *Report) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, `{"goodput":%.4f,"worst":%.4f,"inrate":%.4f}`, r.goodput(), r.worst(), r.refused()), nil
}

func (r *Report) goodput() float64 { return ratio(total(r.whole), total(r.sent)) }

func (r *Report) refused() float64 { return ratio(total(r.inrate), total(r.sent)) }

func (r *Report) worst() float64 {
	worst := 1.0
	for name, n := range r.sent {
		worst = min(worst, ratio(r.whole[name], n))
	}
	return worst
}

func total(m map[model.Org]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

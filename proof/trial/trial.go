package trial

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/clock"
	"anvilstand/proof/audit"
)

// Trial is what is to be run.
type Trial struct {
	profile Profile
	lasts   time.Duration
	seed    uint64
	faults  []Fault
}

// New returns a trial of a profile for so many seconds of traffic, drawn from
// a seed, with faults. Without faults there is a surge.
func New(p Profile, seconds float64, seed uint64, faults ...Fault) Trial {
	if len(faults) == 0 {
		faults = []Fault{Surge{}}
	}
	return Trial{profile: p, lasts: time.Duration(seconds * float64(time.Second)), seed: seed, faults: faults}
}

// Parts of a trial at which something begins.
const (
	faultFrom  = 0.10
	faultUntil = 0.25
	outFrom    = 0.55
	outUntil   = 0.90
)

// idle is how long the fleet runs without traffic, for the cost of control.
const idle = time.Second

// Run runs the trial's fleet, sends its traffic and reports. Progress goes to
// a writer, unless it is nil.
func (t Trial) Run(ctx context.Context, progress io.Writer) (*Report, error) {
	before := heap()
	f, err := startFleet(ctx, t.profile)
	if err != nil {
		return nil, err
	}
	r := &Report{profile: t.profile, faults: t.faults, history: f.history, probes: newProbes()}
	err = f.configure(ctx)
	if err == nil {
		r.resident = (heap() - before) / float64(len(f.targets))
		r.core = f.idleShare(ctx)
		err = t.load(ctx, f, r, progress)
	}
	f.history.Finish()
	r.crashes = f.crashes.Load()
	return r, errors.Join(err, f.close())
}

// heap returns the bytes of the live heap.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idleShare returns the share of a core that the control of one daemon takes.
func (f *fleet) idleShare(ctx context.Context) float64 {
	used, began := processor(), time.Now()
	_ = clock.Sleep(ctx, idle)
	return float64(processor()-used) / float64(time.Since(began)) / float64(len(f.targets))
}

func (t Trial) load(ctx context.Context, f *fleet, r *Report, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, t.lasts)
	defer cancel()
	reads, writes := f.store.Calls()
	bytes := f.net.control.Load()
	r.began = f.history.Now()
	g := &errgroup.Group{}
	g.Go(func() error { return f.traffic(ctx, t.seed) })
	g.Go(func() error {
		r.probes.run(ctx, f)
		return nil
	})
	g.Go(func() error {
		t.play(ctx, f, r)
		return nil
	})
	g.Go(func() error {
		show(ctx, f, progress)
		return nil
	})
	err := g.Wait()
	r.reads, r.writes = f.store.Calls()
	r.reads, r.writes = r.reads-reads, r.writes-writes
	r.bytes = f.net.control.Load() - bytes
	r.lasted = f.history.Now() - r.began
	return err
}

func (t Trial) part(x float64) time.Duration { return time.Duration(x * float64(t.lasts)) }

// play places the faults, then takes a failure domain out and brings it back.
func (t Trial) play(ctx context.Context, f *fleet, r *Report) {
	_ = clock.Sleep(ctx, t.part(faultFrom))
	r.faultFrom = f.history.Now()
	fault, cancel := context.WithTimeout(ctx, t.part(faultUntil-faultFrom))
	defer cancel()
	f.history.Strike(t.part(faultUntil - faultFrom))
	var undo []func()
	for _, one := range t.faults {
		undo = append(undo, f.strike(fault, one))
	}
	<-fault.Done()
	for _, end := range undo {
		end()
	}
	r.faultUntil = f.history.Now()
	_ = clock.Sleep(ctx, t.part(outFrom-faultUntil))
	out := string(domains[len(domains)-1])
	r.outFrom = f.history.Now()
	f.tellNoted(ctx, opOut, "out domain "+out)
	_ = clock.Sleep(ctx, t.part(outUntil-outFrom))
	r.outUntil = f.history.Now()
	f.tellNoted(ctx, opIn, "in domain "+out)
}

// show prints a line each second.
func show(ctx context.Context, f *fleet, progress io.Writer) {
	if progress == nil {
		return
	}
	for last := (audit.Tally{}); ctx.Err() == nil; {
		_ = clock.Sleep(ctx, time.Second)
		now := f.history.Tally()
		fmt.Fprintf(progress, "\r%3.0f s  %5d sent  %5d whole  %5d refused  %5d cut a second ",
			f.history.Now().Seconds(), now.Sent()-last.Sent(), now.Whole()-last.Whole(), now.Refused()-last.Refused(), now.Cut()-last.Cut())
		last = now
	}
	fmt.Fprintln(progress)
}

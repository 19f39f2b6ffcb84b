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

// Trial is a run of a profile with faults.
type Trial struct {
	profile  Profile
	duration time.Duration
	seed     uint64
	faults   []Fault
}

// New returns a trial of a profile with some seconds of traffic, drawn from a
// seed. Without faults it injects a surge.
func New(p Profile, seconds float64, seed uint64, faults ...Fault) Trial {
	if len(faults) == 0 {
		faults = []Fault{Surge{}}
	}
	return Trial{profile: p, duration: time.Duration(seconds * float64(time.Second)), seed: seed, faults: faults}
}

// When the faults and the evacuation of a failure domain start and end, as
// fractions of the duration.
const (
	faultFrom  = 0.10
	faultUntil = 0.25
	outFrom    = 0.55
	outUntil   = 0.90
)

// idleTime is how long the fleet runs without traffic to measure the processor
// time that control needs.
const idleTime = time.Second

// Run starts the fleet, sends the traffic, injects the faults and returns the
// report. Progress goes to a writer, unless it is nil.
func (t Trial) Run(ctx context.Context, progress io.Writer) (*Report, error) {
	before := heapBytes()
	f, err := startFleet(ctx, t.profile)
	if err != nil {
		return nil, err
	}
	r := &Report{profile: t.profile, faults: t.faults, history: f.history, probes: newProbes()}
	err = f.configure(ctx)
	if err == nil {
		r.residentBytes = (heapBytes() - before) / float64(len(f.targets))
		r.coreFraction = f.idleCoreFraction(ctx)
		err = t.measure(ctx, f, r, progress)
	}
	f.history.Finish()
	r.crashes = f.crashes.Load()
	return r, errors.Join(err, f.close())
}

// heapBytes returns the bytes of heap and stacks in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// processorTime returns the processor time that the process has used, user and
// system.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idleCoreFraction returns the fraction of a core that one daemon uses without
// traffic.
func (f *fleet) idleCoreFraction(ctx context.Context) float64 {
	used, start := processorTime(), time.Now()
	_ = clock.Sleep(ctx, idleTime)
	return float64(processorTime()-used) / float64(time.Since(start)) / float64(len(f.targets))
}

// measure sends the traffic, with probes, faults and progress beside it, and
// fills the report.
func (t Trial) measure(ctx context.Context, f *fleet, r *Report, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, t.duration)
	defer cancel()
	reads, writes := f.store.Calls()
	bytes := f.net.linkBytes.Load()
	r.start = f.history.Now()
	g := &errgroup.Group{}
	g.Go(func() error { return f.sendTraffic(ctx, t.seed) })
	g.Go(func() error {
		r.probes.run(ctx, f)
		return nil
	})
	g.Go(func() error {
		t.runFaults(ctx, f, r)
		return nil
	})
	g.Go(func() error {
		showProgress(ctx, f, progress)
		return nil
	})
	err := g.Wait()
	r.reads, r.writes = f.store.Calls()
	r.reads, r.writes = r.reads-reads, r.writes-writes
	r.linkBytes = f.net.linkBytes.Load() - bytes
	r.duration = f.history.Now() - r.start
	return err
}

// offset returns a fraction of the duration.
func (t Trial) offset(part float64) time.Duration { return time.Duration(part * float64(t.duration)) }

// runFaults injects the faults, undoes them, and then takes a failure domain out
// and brings it back.
func (t Trial) runFaults(ctx context.Context, f *fleet, r *Report) {
	_ = clock.Sleep(ctx, t.offset(faultFrom))
	r.faultFrom = f.history.Now()
	faultCtx, cancel := context.WithTimeout(ctx, t.offset(faultUntil-faultFrom))
	defer cancel()
	f.history.AddFault(t.offset(faultUntil - faultFrom))
	var undo []func()
	for _, fault := range t.faults {
		undo = append(undo, f.inject(faultCtx, fault))
	}
	<-faultCtx.Done()
	for _, undoOne := range undo {
		undoOne()
	}
	r.faultUntil = f.history.Now()
	_ = clock.Sleep(ctx, t.offset(outFrom-faultUntil))
	out := string(domains[len(domains)-1])
	r.outFrom = f.history.Now()
	f.commandUntilAccepted(ctx, opOut, "out domain "+out)
	_ = clock.Sleep(ctx, t.offset(outUntil-outFrom))
	r.outUntil = f.history.Now()
	f.commandUntilAccepted(ctx, opIn, "in domain "+out)
}

// showProgress writes the counts of the last second to a line, each second.
func showProgress(ctx context.Context, f *fleet, progress io.Writer) {
	if progress == nil {
		return
	}
	for last := (audit.Tally{}); ctx.Err() == nil; {
		_ = clock.Sleep(ctx, time.Second)
		now := f.history.Tally()
		fmt.Fprintf(progress, "\r%3.0f s  %5d sent  %5d whole  %5d refused  %5d cut a second ",
			f.history.Now().Seconds(), now.Sent()-last.Sent(), now.Complete()-last.Complete(), now.Refused()-last.Refused(), now.ConnLost()-last.ConnLost())
		last = now
	}
	fmt.Fprintln(progress)
}

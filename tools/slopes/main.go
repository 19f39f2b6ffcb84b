// Command slopes measures how the cost of the control plane grows with the number
// of daemons, and the latency and processor time that daemons add to a request. It
// runs the control loops of many daemons in one process, with the in-memory fake of
// the store. Messages between daemons are encoded and decoded, but don't cross a
// network.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	sizes := flag.String("sizes", "10,40,160,300", "numbers of daemons")
	duration := flag.Duration("lasts", 5*time.Second, "how long each size is measured")
	requests := flag.Int("requests", 3000, "requests through the path")
	flag.Parse()
	fmt.Println("daemons  core%/daemon  messages/s  bytes/s  resident KB  store reads/s  writes/s  in force ms")
	for text := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "parse -sizes")
		}
		r, err := measure(ctx, n, *duration)
		if err != nil {
			return errors.Wrapf(err, "measure %d daemons", n)
		}
		fmt.Println(r)
	}
	text, err := measurePath(ctx, *requests)
	fmt.Print(text)
	return err
}

// row holds the measures at one fleet size: rates and bytes are for each daemon,
// reads and writes of the store for the whole fleet.
type row struct {
	daemons    int
	processors float64       // processor seconds a second
	messages   float64       // a second
	bytes      float64       // a second
	resident   float64       // bytes
	reads      float64       // a second
	writes     float64       // a second
	applyTime  time.Duration // from a commit until all daemons have applied it
}

// String returns the values in the columns of the table that run prints.
func (r row) String() string {
	const percent, kilo = 100, 1024
	return fmt.Sprintf("%7d  %12.3f  %10.2f  %7.0f  %11.1f  %13.1f  %8.1f  %11d",
		r.daemons, percent*r.processors, r.messages, r.bytes, r.resident/kilo, r.reads, r.writes, r.applyTime.Milliseconds())
}

// startupTime is how long a fleet runs before the measurement, so that
// the work of starting up doesn't count.
const startupTime = 6 * time.Second

// measure runs a fleet of n daemons for a duration and returns its costs.
func measure(ctx context.Context, n int, duration time.Duration) (row, error) {
	memoryBefore := liveBytes()
	f := startFleet(ctx, n)
	defer f.close()
	if err := f.configure(ctx); err != nil {
		return row{}, err
	}
	time.Sleep(startupTime)
	processorBefore, messagesBefore, bytesBefore := processorTime(), f.messages.Load(), f.bytes.Load()
	readsBefore, writesBefore := f.store.Calls()
	began := time.Now()
	time.Sleep(duration)
	seconds := time.Since(began).Seconds()
	r := row{daemons: n}
	daemonSeconds := seconds * float64(n)
	r.processors = (processorTime() - processorBefore).Seconds() / daemonSeconds
	r.messages = float64(f.messages.Load()-messagesBefore) / daemonSeconds
	r.bytes = float64(f.bytes.Load()-bytesBefore) / daemonSeconds
	nowReads, nowWrites := f.store.Calls()
	r.reads, r.writes = float64(nowReads-readsBefore)/seconds, float64(nowWrites-writesBefore)/seconds
	r.resident = (liveBytes() - memoryBefore) / float64(n)
	applyTime, err := f.change(ctx)
	r.applyTime = applyTime
	return r, err
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

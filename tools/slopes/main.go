// Command slopes measures how the cost of control grows with the number of
// daemons, and what the path of a request costs. It runs the control loops of
// many daemons in one process, over a link that encodes each message and hands
// it on, with the stand-in of the store.
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
	lasts := flag.Duration("lasts", 5*time.Second, "how long each size is measured")
	requests := flag.Int("requests", 3000, "requests through the path")
	flag.Parse()
	fmt.Println("daemons  core%/daemon  messages/s  bytes/s  resident KB  store reads/s  writes/s  in force ms")
	for text := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "read sizes")
		}
		r, err := measure(ctx, n, *lasts)
		if err != nil {
			return errors.Wrapf(err, "measure %d daemons", n)
		}
		fmt.Println(r)
	}
	text, err := path(ctx, *requests)
	fmt.Print(text)
	return err
}

// row is what was measured at one size, for each daemon but for the store.
type row struct {
	daemons  int
	core     float64
	messages float64
	bytes    float64
	resident float64
	reads    float64
	writes   float64
	force    time.Duration
}

// String returns the row of the table.
func (r row) String() string {
	const percent, kilo = 100, 1024
	return fmt.Sprintf("%7d  %12.3f  %10.2f  %7.0f  %11.1f  %13.1f  %8.1f  %11d",
		r.daemons, percent*r.core, r.messages, r.bytes, r.resident/kilo, r.reads, r.writes, r.force.Milliseconds())
}

// settle is how long a fleet runs before it is measured.
const settle = 6 * time.Second

func measure(ctx context.Context, n int, lasts time.Duration) (row, error) {
	before := resident()
	f := startFleet(ctx, n)
	defer f.close()
	if err := f.configure(ctx); err != nil {
		return row{}, err
	}
	time.Sleep(settle)
	used, sent, bytes := processor(), f.messages.Load(), f.bytes.Load()
	reads, writes := f.store.Calls()
	began := time.Now()
	time.Sleep(lasts)
	took := time.Since(began).Seconds()
	r := row{daemons: n}
	each := took * float64(n)
	r.core = (processor() - used).Seconds() / each
	r.messages = float64(f.messages.Load()-sent) / each
	r.bytes = float64(f.bytes.Load()-bytes) / each
	nowReads, nowWrites := f.store.Calls()
	r.reads, r.writes = float64(nowReads-reads)/took, float64(nowWrites-writes)/took
	r.resident = (resident() - before) / float64(n)
	force, err := f.change(ctx)
	r.force = force
	return r, err
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident returns the bytes of the live heap and the stacks.
func resident() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

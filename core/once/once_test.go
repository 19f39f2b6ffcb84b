package once_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/once"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const window = time.Minute

// members returns members a0 to a(n-1) over three failure domains.
func members(n int) []fleet.Member {
	var all []fleet.Member
	for i := range n {
		name := model.Instance(fmt.Sprintf("a%d", i))
		all = append(all, fleet.NewMember(name, model.Domain(fmt.Sprintf("d%d", i%3)), "s", string(name)))
	}
	return all
}

// fleetOf is daemons with their books, of which each crash makes a new process.
type fleetOf struct {
	t     *rapid.T
	now   model.Instant
	all   []fleet.Member
	alive []bool
	books []*once.Book
	procs []once.Process
	seen  []fleet.Member
	ran   map[once.Key]int
	last  map[once.Key]model.Instant
	open  []pending
}

// pending is a claim whose answer is on its way.
type pending struct {
	key     once.Key
	home    once.Process
	vouched bool
	err     error
}

func newFleet(t *rapid.T, n int) *fleetOf {
	f := &fleetOf{t: t, all: members(n), ran: map[once.Key]int{}, last: map[once.Key]model.Instant{}}
	f.alive, f.books, f.procs = make([]bool, n), make([]*once.Book, n), make([]once.Process, n)
	f.seen = f.all
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleetOf) start(i int) {
	f.alive[i] = true
	f.procs[i] = once.NewProcess(f.all[i].Name(), fmt.Sprint(f.now, "-", i))
	f.books[i] = once.NewBook(f.all[i].Name(), window)
	f.books[i].Observe(f.now, f.seen)
}

// see gives all daemons that live the same membership.
func (f *fleetOf) see() {
	f.seen = nil
	for i, m := range f.all {
		if f.alive[i] {
			f.seen = append(f.seen, m)
		}
	}
	for i := range f.all {
		if f.alive[i] {
			f.books[i].Observe(f.now, f.seen)
		}
	}
}

func (f *fleetOf) index(name model.Instance) int {
	for i := range f.all {
		if f.all[i].Name() == name {
			return i
		}
	}
	return -1
}

// send brings a request to any daemon, as a stale view would.
func (f *fleetOf) send(k once.Key, i int) {
	if !f.alive[i] {
		return
	}
	var out once.Outbox
	if f.books[i].Begin(f.now, k, time.Second, &out) != nil {
		return
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Replay:
			if f.ran[k] == 0 {
				f.t.Fatalf("an answer to %s, which never ran", k)
			}
		case once.Start:
			f.run(k, f.procs[i])
		case once.Confirm:
			f.claim(k, i, f.index(a.Peer().Name()))
		case once.Noted:
			f.t.Fatal("noted at the home")
		}
	}
}

func (f *fleetOf) claim(k once.Key, home, witness int) {
	p := pending{key: k, home: f.procs[home], err: model.Refuse(model.NoTarget{}, 0)}
	if f.alive[witness] && !rapid.Bool().Draw(f.t, "claim lost") {
		var out once.Outbox
		p.err = f.books[witness].Claim(f.now, k, time.Second, f.procs[home], &out)
		for _, a := range out.Actions() {
			if n, ok := a.(once.Noted); ok {
				p.vouched = n.Vouched()
			}
		}
		if rapid.IntRange(0, 4).Draw(f.t, "answer lost") == 0 {
			p.err = model.Refuse(model.NoTarget{}, 0)
		}
	}
	f.open = append(f.open, p)
}

// deliver brings the answer of a claim to its process, if that still lives.
func (f *fleetOf) deliver(n int) {
	p := f.open[n]
	f.open = append(f.open[:n:n], f.open[n+1:]...)
	i := f.index(p.home.Name())
	if !f.alive[i] || f.procs[i] != p.home {
		return
	}
	if p.err != nil {
		f.books[i].Drop(p.key)
		return
	}
	if f.books[i].Confirmed(f.now, p.key, p.vouched) == nil {
		f.run(p.key, p.home)
	}
}

func (f *fleetOf) run(k once.Key, by once.Process) {
	if last, ok := f.last[k]; ok && f.now.Sub(last) < window {
		f.t.Fatalf("%s ran again after %s", k, f.now.Sub(last))
	}
	f.ran[k]++
	f.last[k] = f.now
	book := f.books[f.index(by.Name())]
	switch rapid.IntRange(0, 2).Draw(f.t, "end") {
	case 0:
		book.Finish(k, once.NewAnswer(200, nil, []byte("done")))
	case 1:
		book.Finish(k, nil)
	}
}

func (f *fleetOf) step() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(f.t, "seconds")) * time.Second)
	i := rapid.IntRange(0, len(f.all)-1).Draw(f.t, "daemon")
	switch rapid.IntRange(0, 9).Draw(f.t, "step") {
	case 0:
		f.alive[i] = false
	case 1:
		if !f.alive[i] {
			f.start(i)
		}
	case 2:
		f.see()
	case 3, 4, 5:
		if len(f.open) > 0 {
			f.deliver(rapid.IntRange(0, len(f.open)-1).Draw(f.t, "claim"))
		}
	default:
		f.send(once.Key(rapid.SampledFrom([]string{"k", "l", "m"}).Draw(f.t, "key")), i)
	}
}

func TestRunsAtMostOnce(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "daemons"))
		f.now = f.now.Add(model.Guard(window))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step()
		}
		for _, n := range f.ran {
			runs += n
		}
	})
	if runs == 0 {
		t.Error("nothing ran")
	}
}

// ready returns books that know everything of the last window.
func ready(n int) (books map[model.Instance]*once.Book, all []fleet.Member, now model.Instant) {
	books, all = map[model.Instance]*once.Book{}, members(n)
	for _, m := range all {
		books[m.Name()] = once.NewBook(m.Name(), window)
		books[m.Name()].Observe(0, all)
	}
	return books, all, model.Instant(model.Guard(window))
}

// TestKeepsRunningThroughOneChange checks that each single change of the
// membership leaves one of each key's pair that knows the key.
func TestKeepsRunningThroughOneChange(t *testing.T) {
	cases := map[string]func([]fleet.Member) []fleet.Member{
		"one gone":        func(all []fleet.Member) []fleet.Member { return all[1:] },
		"one more":        func(all []fleet.Member) []fleet.Member { return append(all, members(7)[6]) },
		"one domain gone": func(all []fleet.Member) []fleet.Member { return []fleet.Member{all[1], all[2], all[4], all[5]} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			books, all, now := ready(6)
			next := change(all)
			for _, b := range books {
				b.Observe(now, next)
			}
			for i := range 200 {
				k := once.Key(fmt.Sprint(i))
				home, witness := once.Pair(next, k)
				knows := false
				for _, m := range []fleet.Member{home, witness} {
					b := books[m.Name()]
					knows = knows || (b != nil && b.Knows(now, k))
				}
				if !knows {
					t.Errorf("nobody knows key %s", k)
				}
				if diff := cmp.Diff(false, home.Domain() == witness.Domain()); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestBookIsBounded(t *testing.T) {
	books, all, now := ready(1)
	b := books[all[0].Name()]
	body := make([]byte, once.MaxAnswer)
	for i := range once.MaxRecords {
		k := once.Key(fmt.Sprint(i))
		if err := b.Begin(now, k, 0, &once.Outbox{}); err != nil {
			t.Fatal(err)
		}
		if i < 1000 {
			b.Finish(k, once.NewAnswer(200, nil, body))
		}
	}
	if b.Bytes() > once.MaxHeld {
		t.Errorf("%d bytes held", b.Bytes())
	}
	if b.Begin(now, "more", 0, &once.Outbox{}) == nil {
		t.Error("more records than the bound")
	}
	later := now.Add(2 * window)
	if err := b.Begin(later, "more", 0, &once.Outbox{}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{1, 0}, []int{b.Len(), b.Bytes()}); diff != "" {
		t.Error(diff)
	}
}

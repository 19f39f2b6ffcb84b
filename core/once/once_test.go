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

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const window = time.Minute

// members returns members a0 to a(n-1), spread over three failure domains.
func members(n int) []fleet.Member {
	var all []fleet.Member
	for i := range n {
		name := model.Instance(fmt.Sprintf("a%d", i))
		all = append(all, fleet.NewMember(name, model.Domain(fmt.Sprintf("d%d", i%3)), "s", string(name)))
	}
	return all
}

// sim simulates the daemons of a service. A daemon that is started again after a
// crash is a new process with empty records.
type sim struct {
	t          *rapid.T
	now        model.Instant
	daemons    []fleet.Member
	alive      []bool
	registries []*once.Registry
	processes  []once.Process
	members    []fleet.Member
	runs       map[once.Key]int
	lastRun    map[once.Key]model.Instant
	pending    []pendingClaim
}

// pendingClaim is a claim whose reply has not reached its sender yet.
type pendingClaim struct {
	key      once.Key
	process  once.Process
	keyIsNew bool
	err      error
}

func newSim(t *rapid.T, n int) *sim {
	s := &sim{t: t, daemons: members(n), runs: map[once.Key]int{}, lastRun: map[once.Key]model.Instant{}}
	s.alive, s.registries, s.processes = make([]bool, n), make([]*once.Registry, n), make([]once.Process, n)
	s.members = s.daemons
	for i := range n {
		s.start(i)
	}
	return s
}

func (s *sim) start(i int) {
	s.alive[i] = true
	s.processes[i] = once.NewProcess(s.daemons[i].Name(), fmt.Sprint(s.now, "-", i))
	s.registries[i] = once.NewRegistry(s.daemons[i].Name(), window)
	s.registries[i].Observe(s.now, s.members)
}

// observe has all daemons that are alive observe the same membership.
func (s *sim) observe() {
	s.members = nil
	for i, m := range s.daemons {
		if s.alive[i] {
			s.members = append(s.members, m)
		}
	}
	for i := range s.daemons {
		if s.alive[i] {
			s.registries[i].Observe(s.now, s.members)
		}
	}
}

func (s *sim) index(name model.Instance) int {
	for i := range s.daemons {
		if s.daemons[i].Name() == name {
			return i
		}
	}
	return -1
}

// send sends a request to daemon i, which need not be of the key's pair: the
// sender may have an old membership.
func (s *sim) send(k once.Key, i int) {
	if !s.alive[i] {
		return
	}
	var out once.Outbox
	if s.registries[i].Begin(s.now, k, time.Second, &out) != nil {
		return
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Replay:
			if s.runs[k] == 0 {
				s.t.Fatalf("key %s: got a stored response, but its request never ran", k)
			}
		case once.RunUnclaimed:
			s.run(k, s.processes[i])
		case once.SendClaim:
			s.claim(k, i, s.index(a.Other().Name()))
		case once.ClaimReply:
			s.t.Fatal("got the reply to a claim from Begin")
		}
	}
}

func (s *sim) claim(k once.Key, primary, secondary int) {
	p := pendingClaim{key: k, process: s.processes[primary], err: model.Refuse(model.NoTarget{}, 0)}
	if s.alive[secondary] && !rapid.Bool().Draw(s.t, "claim lost") {
		var out once.Outbox
		p.err = s.registries[secondary].Claim(s.now, k, time.Second, s.processes[primary], &out)
		for _, a := range out.Actions() {
			if reply, ok := a.(once.ClaimReply); ok {
				p.keyIsNew = reply.KeyIsNew()
			}
		}
		if rapid.IntRange(0, 4).Draw(s.t, "answer lost") == 0 {
			p.err = model.Refuse(model.NoTarget{}, 0)
		}
	}
	s.pending = append(s.pending, p)
}

// deliver delivers the reply to the nth pending claim to its sender, if that
// process is still alive.
func (s *sim) deliver(n int) {
	p := s.pending[n]
	s.pending = append(s.pending[:n:n], s.pending[n+1:]...)
	i := s.index(p.process.Name())
	if !s.alive[i] || s.processes[i] != p.process {
		return
	}
	if p.err != nil {
		s.registries[i].Abort(p.key)
		return
	}
	if s.registries[i].ClaimAnswered(s.now, p.key, p.keyIsNew) == nil {
		s.run(p.key, p.process)
	}
}

func (s *sim) run(k once.Key, by once.Process) {
	if last, ok := s.lastRun[k]; ok && s.now.Sub(last) < window {
		s.t.Fatalf("key %s: ran again %s after its last run, within the window", k, s.now.Sub(last))
	}
	s.runs[k]++
	s.lastRun[k] = s.now
	registry := s.registries[s.index(by.Name())]
	switch rapid.IntRange(0, 2).Draw(s.t, "end") {
	case 0:
		registry.Finish(k, once.NewResponse(200, nil, []byte("done")))
	case 1:
		registry.Finish(k, nil)
	}
}

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.t, "seconds")) * time.Second)
	i := rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon")
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		s.alive[i] = false
	case 1:
		if !s.alive[i] {
			s.start(i)
		}
	case 2:
		s.observe()
	case 3, 4, 5:
		if len(s.pending) > 0 {
			s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "claim"))
		}
	default:
		s.send(once.Key(rapid.SampledFrom([]string{"k", "l", "m"}).Draw(s.t, "key")), i)
	}
}

// TestRunsAtMostOnce checks that no request runs twice within the window, with daemons
// that crash and restart, old memberships, and lost and late claims.
func TestRunsAtMostOnce(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(1, 6).Draw(t, "daemons"))
		s.now = s.now.Add(model.WithDrift(window))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
		}
		for _, n := range s.runs {
			runs += n
		}
	})
	if runs == 0 {
		t.Error("no request ran in any of the simulations")
	}
}

// settledRegistries returns the registries of n daemons that have had one membership
// for the whole last window, and the present time.
func settledRegistries(n int) (registries map[model.Instance]*once.Registry, all []fleet.Member, now model.Instant) {
	registries, all = map[model.Instance]*once.Registry{}, members(n)
	for _, m := range all {
		registries[m.Name()] = once.NewRegistry(m.Name(), window)
		registries[m.Name()].Observe(0, all)
	}
	return registries, all, model.Instant(model.WithDrift(window))
}

// TestPairIsCertainAfterOneChange checks that after any single change of the
// membership at least one daemon of each key's new pair is certain whether the
// key has run. Otherwise the requests with such a key would be refused.
func TestPairIsCertainAfterOneChange(t *testing.T) {
	cases := map[string]func([]fleet.Member) []fleet.Member{
		"one gone":        func(all []fleet.Member) []fleet.Member { return all[1:] },
		"one more":        func(all []fleet.Member) []fleet.Member { return append(all, members(7)[6]) },
		"one domain gone": func(all []fleet.Member) []fleet.Member { return []fleet.Member{all[1], all[2], all[4], all[5]} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			registries, all, now := settledRegistries(6)
			next := change(all)
			for _, reg := range registries {
				reg.Observe(now, next)
			}
			for i := range 200 {
				k := once.Key(fmt.Sprint(i))
				primary, secondary := once.Pair(next, k)
				certain := false
				for _, m := range []fleet.Member{primary, secondary} {
					reg := registries[m.Name()]
					certain = certain || (reg != nil && reg.InPairForWindow(now, k))
				}
				if !certain {
					t.Errorf("key %s: neither daemon of its pair was of the pair for the whole window", k)
				}
				if diff := cmp.Diff(false, primary.Domain() == secondary.Domain()); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestRecordsAreBounded checks the limits of keys and of stored bodies, and that expired
// records are deleted.
func TestRecordsAreBounded(t *testing.T) {
	registries, all, now := settledRegistries(1)
	reg := registries[all[0].Name()]
	body := make([]byte, once.MaxResponseBytes)
	for i := range once.MaxRecords {
		k := once.Key(fmt.Sprint(i))
		if err := reg.Begin(now, k, 0, &once.Outbox{}); err != nil {
			t.Fatal(err)
		}
		if i < 1000 {
			reg.Finish(k, once.NewResponse(200, nil, body))
		}
	}
	if reg.Bytes() > once.MaxStoredBytes {
		t.Errorf("%d bytes of bodies stored, over the limit", reg.Bytes())
	}
	if reg.Begin(now, "more", 0, &once.Outbox{}) == nil {
		t.Error("a key beyond MaxRecords was recorded")
	}
	later := now.Add(2 * window)
	if err := reg.Begin(later, "more", 0, &once.Outbox{}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{1, 0}, []int{reg.Len(), reg.Bytes()}); diff != "" {
		t.Error(diff)
	}
}

package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/fake"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

var zones = []model.Domain{"north", "south", "west"}

// cluster is a number of control loops with a stand-in of the store and a
// network that loses, delays, doubles and cuts.
type cluster struct {
	mu    sync.Mutex
	ctx   context.Context
	group *errgroup.Group
	stop  context.CancelFunc
	rnd   *rand.Rand
	store fake.Stand
	nodes map[string]*node
	fault fault
}

// fault is how the network and the store misbehave.
type fault struct {
	lost, doubled float64
	delay         time.Duration
	cut           func(from, to *node) bool
	away          func(*node) bool
	stuck         bool
}

// traffic counts the messages that a node sent and took, and their bytes.
type traffic struct{ messages, bytes uint64 }

func (c *cluster) traffic() map[*node]traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[*node]traffic{}
	for _, n := range c.nodes {
		all[n] = n.posts
	}
	return all
}

func (a *traffic) add(bytes int) {
	a.messages++
	a.bytes += uint64(bytes)
}

// node is one control loop and its side of the store and of the network.
type node struct {
	cluster *cluster
	member  fleet.Member
	loop    *ctrl.Loop
	paused  chan struct{}
	posts   traffic
	stop    context.CancelFunc
	done    *errgroup.Group
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	return &cluster{ctx: ctx, group: g, stop: stop, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}}
}

// start starts a loop. Seeds are addresses.
func (c *cluster) start(i int, born model.Incarnation, seeds ...string) *node {
	address := fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, 7000+born%1000)
	m := fleet.NewMember(model.Instance(fmt.Sprintf("n-%04d", i)), zones[i%len(zones)], model.Service(fmt.Sprintf("s-%d", i%7)), address)
	n := &node{cluster: c, member: m.WithIncarnation(born)}
	n.loop = ctrl.New(n.member, codec.Packer{}, seeds)
	ctx, stop := context.WithCancel(c.ctx)
	n.stop = stop
	n.done, ctx = errgroup.WithContext(ctx)
	n.done.Go(func() error { return n.loop.Run(ctx, n) })
	n.done.Go(func() error { return watch.Follow(ctx, n, n.loop, len(seeds) > 0) })
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) startAll(n int) {
	for i := range n {
		c.start(i, model.Incarnation(1000+i))
	}
}

func (c *cluster) close(t *testing.T) {
	t.Helper()
	c.stop()
	for _, n := range c.nodes {
		n.resume()
		if err := n.done.Wait(); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(time.Minute)
}

// crash ends a loop at once.
func (n *node) crash() {
	n.stop()
	_ = n.done.Wait()
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.member.Address())
	n.cluster.mu.Unlock()
}

func (n *node) pause() {
	n.cluster.mu.Lock()
	n.paused = make(chan struct{})
	n.cluster.mu.Unlock()
}

func (n *node) resume() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// held returns a channel that is closed when the node is not paused.
func (n *node) held() chan struct{} {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.paused != nil {
		return n.paused
	}
	open := make(chan struct{})
	close(open)
	return open
}

// Send carries a message over the network, through the codec.
func (n *node) Send(address string, m peer.Message) bool {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	n.posts.add(len(data))
	to := c.nodes[address]
	if to == nil {
		process := n.recorded(address)
		time.AfterFunc(time.Millisecond, func() { n.loop.Post(ctrl.NewProven(address, process, fleet.Refused{})) })
		return true
	}
	if c.fault.cut != nil && c.fault.cut(n, to) || c.rnd.Float64() < c.fault.lost {
		return true
	}
	to.posts.add(len(data))
	n.carry(to, data)
	if c.rnd.Float64() < c.fault.doubled {
		n.carry(to, data)
	}
	return true
}

func (n *node) recorded(address string) model.Incarnation {
	m, _ := fleet.FindByAddress(n.loop.View().Members(), address)
	return m.Incarnation()
}

// carry delivers a message once, unless a pause at either end outlasts it.
func (n *node) carry(to *node, data []byte) {
	delay := time.Millisecond/2 + time.Duration(n.cluster.rnd.Int64N(int64(time.Millisecond+n.cluster.fault.delay)))
	time.AfterFunc(delay, func() {
		<-n.held()
		<-to.held()
		m, err := codec.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		to.loop.Post(ctrl.NewHeard(peer.NewEnvelope(n.member.Name(), m).WithFrom(n.member.Incarnation()).WithAddress(n.member.Address())))
	})
}

// reach takes the time of a call of the store and tells whether it is away.
func (n *node) reach() error {
	<-n.held()
	time.Sleep(2 * time.Millisecond)
	n.cluster.mu.Lock()
	away := n.cluster.fault.away
	n.cluster.mu.Unlock()
	if away != nil && away(n) {
		return store.ErrAway
	}
	return nil
}

// Get reads a key.
func (n *node) Get(ctx context.Context, key string) (store.Item, error) {
	if err := n.reach(); err != nil {
		return store.Item{}, err
	}
	ctx, done := context.WithTimeout(ctx, store.CallTimeout)
	defer done()
	return n.cluster.store.Get(ctx, key)
}

// Swap writes a key.
func (n *node) Swap(ctx context.Context, key string, version uint64, data []byte, lease time.Duration) (uint64, error) {
	if err := n.reach(); err != nil {
		return 0, err
	}
	return n.cluster.store.Swap(ctx, key, version, data, lease)
}

// Watch waits for a key to change.
func (n *node) Watch(ctx context.Context, key string, version uint64) (store.Item, error) {
	if err := n.reach(); err != nil {
		return store.Item{}, err
	}
	ctx, done := context.WithTimeout(ctx, store.WatchTimeout)
	defer done()
	if n.cluster.stuck() {
		<-ctx.Done()
		return store.Item{}, store.ErrAway
	}
	return n.cluster.store.Watch(ctx, key, version)
}

func (c *cluster) stuck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault.stuck
}

func (c *cluster) set(f fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int { return int(a.member.Incarnation()) - int(b.member.Incarnation()) })
	return list
}

// await returns how long it takes until all the nodes are as asked, at most
// limit, and how many are.
func await(nodes []*node, limit time.Duration, ok func(*ctrl.View) bool) (time.Duration, int) {
	begin := time.Now()
	for {
		count := 0
		for _, n := range nodes {
			if ok(n.loop.View()) {
				count++
			}
		}
		if since := time.Since(begin); count == len(nodes) || since >= limit {
			return since, count
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// commit commits a batch through a node's side of the store.
func (c *cluster) commit(t *testing.T, n *node, rev model.Revision, text string) {
	t.Helper()
	batch, err := change.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Commit(c.ctx, n, change.NewEntry(rev, model.Op(fmt.Sprint("op", rev)), "ana", 0, batch)); err != nil {
		t.Fatal(err)
	}
}

func hasRevision(rev model.Revision) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return v.Config().Revision() >= rev }
}

func hasMembers(n int) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return len(v.Members()) == n }
}

func watchers(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool {
		_, ok := n.loop.View().Watching()
		return !ok
	})
}

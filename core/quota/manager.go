package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Manager is the control state of a daemon's quotas: the leases that it holds
// with their buckets, the records that it knows, and its pending asks. Each
// command is given the current time, so that a pause of the process between two
// commands cannot make it exceed a quota. It is not safe for concurrent use.
type Manager struct {
	self           Holder
	domain         model.Domain
	leaseTTL       time.Duration
	slack          Slack
	rnd            *rand.Rand
	orgs           []model.Org
	quotas         map[model.Org]*orgQuota
	members        []fleet.Member // of this daemon's domain and not leaving, in order of name
	others         []fleet.Member // of the other domains and not leaving
	domains        []model.Domain // with members, sorted
	domainsChanged model.Instant  // when domains last changed
	firstMembers   model.Instant  // when members were first known
	membersChanged model.Instant  // when members or domains last changed
	listedSince    model.Instant  // when this daemon was found in its domain's list, or zero
	listing        listing
	ended          map[model.Incarnation]bool // processes proven to have ended
	peers          map[string]peerState       // by address
	leaving        bool
	restoredEra    uint64        // highest era in which the store is known to have been restored
	rebuildUntil   model.Instant // no leases are claimed or moved before, after a restore
	seq            uint64        // of the last ask
	op             uint64        // of the last store call
}

// NewManager returns the Manager of a daemon in a failure domain. Leases last
// for leaseTTL, or DefaultLeaseTTL when it is not positive. The seed determines
// the jitter of store calls and the first numbers of asks and batches.
func NewManager(self Holder, d model.Domain, leaseTTL time.Duration, seed uint64) *Manager {
	if leaseTTL <= 0 {
		leaseTTL = DefaultLeaseTTL
	}
	rnd := rand.New(rand.NewPCG(seed, uint64(self.incarnation)))
	return &Manager{
		self: self, domain: d, leaseTTL: leaseTTL, rnd: rnd, seq: rnd.Uint64() >> 1,
		quotas: map[model.Org]*orgQuota{}, ended: map[model.Incarnation]bool{}, peers: map[string]peerState{},
	}
}

// Configure sets the configuration and the living members. A lower rate or
// burst applies here at once; batches already granted expire within BatchTTL.
func (mgr *Manager) Configure(now model.Instant, c *conf.Config, members []fleet.Member) {
	mgr.orgs = slices.DeleteFunc(c.Orgs(), func(name model.Org) bool {
		o, _ := c.Org(name)
		return o.Unlimited()
	})
	for name := range mgr.quotas {
		if !slices.Contains(mgr.orgs, name) {
			delete(mgr.quotas, name)
		}
	}
	for _, name := range mgr.orgs {
		o, _ := c.Org(name)
		q := mgr.quotas[name]
		if q == nil {
			q = &orgQuota{org: name, holders: map[model.Domain]holderState{}, nextCall: now, mayBeLost: mgr.IsRebuilding(now)}
			mgr.quotas[name] = q
		}
		q.setQuota(now, o.Rate(), o.Burst())
	}
	mgr.setMembers(now, members)
}

// HandleMessage handles a message of another Manager. Messages about unknown
// organisations are ignored.
func (mgr *Manager) HandleMessage(now model.Instant, m Message, out *Outbox) {
	switch m := m.(type) {
	case Ask:
		mgr.noteHeard(now, m.from)
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleAsk(now, q, m, out)
		}
	case Grant:
		mgr.noteHeard(now, m.holder)
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleGrant(now, q, m, out)
		}
	case RecordUpdate:
		mgr.noteHeard(now, m.sender)
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleUpdate(now, q, m, out)
		}
	}
}

// Tick does what is due at a time: it turns to other holders when an answer is
// late, and renews or claims leases. It is called every TickInterval.
func (mgr *Manager) Tick(now model.Instant, out *Outbox) {
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		mgr.expireAsks(now, q, out)
		if q.held != nil {
			mgr.renewByPeers(now, q)
			mgr.askContenders(now, q, out)
		}
		mgr.maintain(now, q, out)
	}
}

// Resign starts the planned stop: this daemon grants no more tokens, and marks
// its leases vacant in the record.
func (mgr *Manager) Resign(now model.Instant, out *Outbox) {
	mgr.leaving = true
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		q.nextCall = now
		mgr.maintain(now, q, out)
	}
}

// send sends a message, or handles it directly when it is for this process.
func (mgr *Manager) send(now model.Instant, to Holder, m Message, out *Outbox) {
	if to.incarnation == mgr.self.incarnation {
		mgr.HandleMessage(now, m, out)
		return
	}
	out.add(Send{address: to.address, message: m})
}

// jitter returns a random duration between half and one and a half of the mean.
func (mgr *Manager) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(mgr.rnd.Int64N(int64(mean)))
}

package canary

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Controller is the control state of all orders at one daemon. The zero value has no
// order. It is not safe for concurrent use; what queries return is.
type Controller struct {
	self      fleet.Member
	rollouts  map[model.Service]*rollout
	listed    bool // Relist was called
	isWatcher bool // this daemon is a watcher of its failure domain
}

// rollout is the state of one order.
type rollout struct {
	controller    *Controller
	order         Order
	deleted       bool
	state         State
	reason        string // of the state, in logs
	stored        State  // in the store, as far as known
	storedAt      model.Instant
	isResumed     bool // the order was there when this process started
	resumedAt     model.Instant
	informed      bool // another daemon has told the state
	isOwnRollback bool // this daemon has rolled the order back
	startedAt     model.Instant
	promotedAt    model.Instant
	blocked       map[string]bool
	warmAt        map[model.Instance]model.Instant
	own           Counts
	ownGate       uint64
	children      map[model.Instance]received // by sender
	watchers      map[model.Instance]received // other watchers of the own failure domain
	domains       map[model.Domain]received
	fleet         Report // last one from above
	fleetAt       model.Instant
	hasFleet      bool
	below         map[model.Instance]*source
	beside        map[model.Instance]*source
	across        map[model.Domain]*source
	above         source
	usual         map[Route]time.Duration // of the old version
	judge         Judge                   // of the fleet
	ownJudge      Judge
	gatesDone     int // successive ticks at which all gates were closed and idle
	reportedAt    model.Instant
	gatesSent     uint64        // sum of gates in the last report
	gatesAll      uint64        // sum when all old targets are closed and idle
	gatesAllAt    model.Instant // last change of gatesAll
	forwardedAt   model.Instant
	oldCount      int
	seenOld       bool // old targets that have all crashed are no reason for a promotion
	newCount      int
}

// received is a report with its time.
type received struct {
	report Report
	at     model.Instant
}

// New returns the controller of a daemon.
func New(self fleet.Member) *Controller {
	return &Controller{self: self, rollouts: map[model.Service]*rollout{}}
}

// Surroundings is what a daemon knows at a tick besides the orders.
type Surroundings struct {
	members  []fleet.Member
	counts   func(Order) Counts
	gateIdle func(Order) bool
}

// NewSurroundings returns the members whose processes are not known to have ended, what
// this daemon's own requests showed of an order, and whether its own target's gate is
// closed and idle.
func NewSurroundings(members []fleet.Member, counts func(Order) Counts, gateIdle func(Order) bool) Surroundings {
	return Surroundings{members: members, counts: counts, gateIdle: gateIdle}
}

func (c *Controller) newRollout(now model.Instant, o Order) *rollout {
	return &rollout{
		controller: c, order: o, state: Unknown{}, stored: Unknown{}, startedAt: now,
		blocked: map[string]bool{}, warmAt: map[model.Instance]model.Instant{},
		children: map[model.Instance]received{}, watchers: map[model.Instance]received{}, domains: map[model.Domain]received{},
		below: map[model.Instance]*source{}, beside: map[model.Instance]*source{}, across: map[model.Domain]*source{},
	}
}

// Outgoing are reports to send: Subtree to the first parent, Branch to the other watchers
// of the failure domain, Domain to those of the others, Fleet down the tree.
type Outgoing []Report

package trial

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/io/fake"
)

// Fault is what goes wrong during a trial.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault.
type (
	// Surge is every organisation sending several times its demand.
	Surge struct{}
	// RetryStorm is a surge of callers that send again whatever failed, at once.
	RetryStorm struct{}
	// SlowDeep is the last service of the chains slowing down.
	SlowDeep struct{}
	// Cold is a third of the targets turning cold.
	Cold struct{}
	// KeyWithdrawn is a key withdrawn from a connected caller.
	KeyWithdrawn struct{}
	// OperatorRace is two operators changing the same thing at once.
	OperatorRace struct{}
	// Poison is a request that crashes each target that runs it, and whose
	// caller sends it again.
	Poison struct{}
	// Silent is open connections that swallow everything.
	Silent struct{}
	// DomainCut is a failure domain cut off from the others and the store.
	DomainCut struct{}
	// StoreDown is a store that is down.
	StoreDown struct{}
	// StoreSlow is a store that answers late.
	StoreSlow struct{}
	// StoreLost is a store whose answers are lost after the effect.
	StoreLost struct{}
)

func (Surge) isFault()        {}
func (RetryStorm) isFault()   {}
func (SlowDeep) isFault()     {}
func (Cold) isFault()         {}
func (KeyWithdrawn) isFault() {}
func (OperatorRace) isFault() {}
func (Poison) isFault()       {}
func (Silent) isFault()       {}
func (DomainCut) isFault()    {}
func (StoreDown) isFault()    {}
func (StoreSlow) isFault()    {}
func (StoreLost) isFault()    {}

// Faults returns every fault that a fleet in one process can play.
func Faults() []Fault {
	return []Fault{
		Surge{},
		RetryStorm{},
		SlowDeep{},
		Cold{},
		KeyWithdrawn{},
		OperatorRace{},
		Poison{},
		Silent{},
		DomainCut{},
		StoreDown{},
		StoreSlow{},
		StoreLost{},
	}
}

// FaultName returns the name of a fault.
func FaultName(f Fault) string {
	switch f.(type) {
	case Surge:
		return "surge"
	case RetryStorm:
		return "retry-storm"
	case SlowDeep:
		return "slow-deep"
	case Cold:
		return "cold"
	case KeyWithdrawn:
		return "key-withdrawn"
	case OperatorRace:
		return "operator-race"
	case Poison:
		return "poison"
	case Silent:
		return "silent"
	case DomainCut:
		return "domain-cut"
	case StoreDown:
		return "store-down"
	case StoreSlow:
		return "store-slow"
	case StoreLost:
		return "store-lost"
	}
	return ""
}

// FaultList returns the names of the faults, a line each, and which faults of
// the brief a fleet in one process cannot play.
func FaultList() string {
	var text strings.Builder
	for _, f := range Faults() {
		fmt.Fprintln(&text, FaultName(f))
	}
	text.WriteString("not in one process: pause, lease-lapse (see proof/cells, TestProcesses)\n")
	text.WriteString("in every trial: domain-out\n")
	return text.String()
}

// ParseFaults reads names joined by a plus sign.
func ParseFaults(text string) ([]Fault, error) {
	var list []Fault
	for name := range strings.SplitSeq(text, "+") {
		f, ok := faultOf(name)
		if !ok {
			return nil, errors.Errorf("fault %q is not known; the faults are:\n%s", name, FaultList())
		}
		list = append(list, f)
	}
	return list, nil
}

func faultOf(name string) (Fault, bool) {
	for _, f := range Faults() {
		if FaultName(f) == name {
			return f, true
		}
	}
	return nil, false
}

// Sizes of the faults.
const (
	surgeBy     = 4  // times the demand
	slowedBy    = 10 // times the run of a target
	coldBy      = 5  // times the run of a target
	storeSlowBy = 300 * time.Millisecond
	poisonEvery = 200 * time.Millisecond
)

// strike begins a fault. It ends when ctx does; the caller then calls what
// strike returns.
func (f *fleet) strike(ctx context.Context, fault Fault) func() {
	nothing := func() {}
	switch fault.(type) {
	case Surge:
		f.more.Store(surgeBy)
		return func() { f.more.Store(1) }
	case RetryStorm:
		f.more.Store(surgeBy)
		f.storm.Store(true)
		return func() { f.more.Store(1); f.storm.Store(false) }
	case SlowDeep:
		return f.slow(f.last(), slowedBy)
	case Cold:
		return f.slow(func(t *target) bool { return t.index%len(domains) == 0 }, coldBy)
	case KeyWithdrawn:
		f.tellNoted(ctx, opWithdraw, "withdraw key "+f.withdrawn())
	case OperatorRace:
		f.race(ctx)
	case Poison:
		f.group.Go(func() error {
			f.poison(ctx)
			return nil
		})
	case Silent:
		f.net.silence(func(string) bool { return true })
	case DomainCut:
		f.net.cut(domains[1], true)
		return func() { f.net.cut(domains[1], false) }
	case StoreDown:
		return f.ail(fake.Down{})
	case StoreSlow:
		return f.ail(fake.NewSlow(storeSlowBy))
	case StoreLost:
		return f.ail(fake.Lost{})
	}
	return nothing
}

func (f *fleet) ail(fault fake.Fault) func() {
	f.store.SetFault(fault)
	return func() { f.store.SetFault(nil) }
}

// last matches the targets of the last service of the chains.
func (f *fleet) last() func(*target) bool {
	name := f.profile.services[min(depth, len(f.profile.services))-1].name
	return func(t *target) bool { return t.load.name == name }
}

func (f *fleet) slow(match func(*target) bool, by int64) func() {
	set := func(n int64) {
		for _, t := range f.targets {
			if match(t) {
				t.factor.Store(n)
			}
		}
	}
	set(by)
	return func() { set(1) }
}

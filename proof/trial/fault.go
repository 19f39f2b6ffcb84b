package trial

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/io/fake"
)

// Fault is a fault that is injected during a trial.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault.
type (
	// Surge makes every organisation send several times its usual rate.
	Surge struct{}
	// RetryStorm is a surge in which callers resend what failed, without backoff.
	RetryStorm struct{}
	// SlowDeep slows the last service of the chains down.
	SlowDeep struct{}
	// Cold makes a third of the targets as slow as after a cold start.
	Cold struct{}
	// KeyWithdrawn withdraws a key that a connected caller uses.
	KeyWithdrawn struct{}
	// OperatorRace lets two operators change the same value at once.
	OperatorRace struct{}
	// Poison is a request that crashes each target that executes it, and that
	// its caller sends again and again.
	Poison struct{}
	// Silent blackholes the open connections of the daemons.
	Silent struct{}
	// DomainCut cuts a failure domain off from the others and the store.
	DomainCut struct{}
	// StoreDown makes the store unavailable.
	StoreDown struct{}
	// StoreSlow makes the store answer late.
	StoreSlow struct{}
	// StoreLost loses the store's answers to writes, which take effect.
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

// Faults returns every fault that can be injected into a fleet in one process.
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

// FaultName returns the name of a fault on the command line and in reports.
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

// FaultList returns the names of the faults, a line each, and which of the
// required faults need other processes or belong to every trial.
func FaultList() string {
	var text strings.Builder
	for _, f := range Faults() {
		fmt.Fprintln(&text, FaultName(f))
	}
	text.WriteString("not in one process: pause, lease-lapse (see proof/cells, TestProcesses)\n")
	text.WriteString("in every trial: domain-out\n")
	return text.String()
}

// ParseFaults parses names of faults joined by a plus sign. An unknown name is
// an error that lists the known ones.
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

// Parameters of the faults.
const (
	surgeFactor    = 4  // times the usual rate
	slowFactor     = 10 // times the service time
	coldFactor     = 5  // times the service time
	storeDelay     = 300 * time.Millisecond
	poisonInterval = 200 * time.Millisecond
)

// inject starts a fault that lasts until ctx ends. It returns a function that
// the caller must call then to undo the fault.
func (f *fleet) inject(ctx context.Context, fault Fault) func() {
	noUndo := func() {}
	switch fault.(type) {
	case Surge:
		f.loadFactor.Store(surgeFactor)
		return func() { f.loadFactor.Store(1) }
	case RetryStorm:
		f.loadFactor.Store(surgeFactor)
		f.retryAll.Store(true)
		return func() { f.loadFactor.Store(1); f.retryAll.Store(false) }
	case SlowDeep:
		return f.slowTargets(f.lastOfChain(), slowFactor)
	case Cold:
		return f.slowTargets(func(t *target) bool { return t.index%len(domains) == 0 }, coldFactor)
	case KeyWithdrawn:
		f.commandUntilAccepted(ctx, opWithdraw, "withdraw key "+f.withdrawnKey())
	case OperatorRace:
		f.raceCommands(ctx)
	case Poison:
		f.group.Go(func() error {
			f.sendPoison(ctx)
			return nil
		})
	case Silent:
		f.net.blackhole(func(string) bool { return true })
	case DomainCut:
		f.net.setCut(domains[1], true)
		return func() { f.net.setCut(domains[1], false) }
	case StoreDown:
		return f.setStoreFault(fake.Down{})
	case StoreSlow:
		return f.setStoreFault(fake.NewSlow(storeDelay))
	case StoreLost:
		return f.setStoreFault(fake.LostAnswer{})
	}
	return noUndo
}

// setStoreFault makes the store fail and returns a function that ends it.
func (f *fleet) setStoreFault(fault fake.Fault) func() {
	f.store.SetFault(fault)
	return func() { f.store.SetFault(nil) }
}

// lastOfChain returns a function that matches the targets of the last service of
// the chains.
func (f *fleet) lastOfChain() func(*target) bool {
	name := f.profile.services[min(chainDepth, len(f.profile.services))-1].name
	return func(t *target) bool { return t.service.name == name }
}

// slowTargets multiplies the service time of the targets that match, and returns
// a function that ends it.
func (f *fleet) slowTargets(match func(*target) bool, factor int64) func() {
	set := func(n int64) {
		for _, t := range f.targets {
			if match(t) {
				t.slowdown.Store(n)
			}
		}
	}
	set(factor)
	return func() { set(1) }
}

package cells

import (
	"strings"
	"time"

	"anvilstand/io/fake"
	"anvilstand/proof/cable"
)

// Fault is what goes wrong at a step.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault. The receiver and the sender are those of the write that is
// the step.
type (
	// None is no fault. The step alone must keep the promises.
	None struct{}
	// CrashBefore is a receiver that crashes before it takes the step.
	CrashBefore struct{}
	// CrashAfter is a receiver that crashes after it took the step.
	CrashAfter struct{}
	// CrashSender is a sender that crashes after the step.
	CrashSender struct{}
	// Pause is a receiver that stops past every deadline and goes on.
	Pause struct{}
	// PauseSender is a sender that stops past every deadline and goes on.
	PauseSender struct{}
	// LostAnswer is a step that takes effect and whose answer is lost.
	LostAnswer struct{}
	// Duplicate is a step that arrives twice: messages on links, and requests
	// whose callers send them again.
	Duplicate struct{}
	// Delay is a link that is late.
	Delay struct{}
	// Reorder is messages of a link out of order, and answers that cross.
	Reorder struct{}
	// CutOne is a failure domain that nothing reaches.
	CutOne struct{}
	// CutBoth is a failure domain cut off from the others and the store.
	CutBoth struct{}
	// Silent is open connections that swallow everything.
	Silent struct{}
	// StoreDown is a store that is down.
	StoreDown struct{}
	// StoreSlow is a store that answers late.
	StoreSlow struct{}
	// StoreLost is a store whose answers to writes are lost after the effect.
	StoreLost struct{}
)

func (None) isFault()        {}
func (CrashBefore) isFault() {}
func (CrashAfter) isFault()  {}
func (CrashSender) isFault() {}
func (Pause) isFault()       {}
func (PauseSender) isFault() {}
func (LostAnswer) isFault()  {}
func (Duplicate) isFault()   {}
func (Delay) isFault()       {}
func (Reorder) isFault()     {}
func (CutOne) isFault()      {}
func (CutBoth) isFault()     {}
func (Silent) isFault()      {}
func (StoreDown) isFault()   {}
func (StoreSlow) isFault()   {}
func (StoreLost) isFault()   {}

// Faults returns every fault. A new one is declared here.
func Faults() []Fault {
	return []Fault{
		None{},
		CrashBefore{},
		CrashAfter{},
		CrashSender{},
		Pause{},
		PauseSender{},
		LostAnswer{},
		Duplicate{},
		Delay{},
		Reorder{},
		CutOne{},
		CutBoth{},
		Silent{},
		StoreDown{},
		StoreSlow{},
		StoreLost{},
	}
}

// Times of the faults.
const (
	// lasts is how long a fault lasts.
	lasts = 4 * time.Second
	// pauses is how long a paused process stops.
	pauses = 6 * time.Second
	// lateBy is how late a late link is.
	lateBy = 200 * time.Millisecond
	// slowBy is how late a slow store answers.
	slowBy = 500 * time.Millisecond
	// crossing is how late a reordered answer is.
	crossing = 50 * time.Millisecond
)

// calm reports whether a fault leaves the connections of requests alone.
func calm(fault Fault) bool {
	switch fault.(type) {
	case None, Duplicate, Delay, Reorder, StoreDown, StoreSlow, StoreLost:
		return true
	case CrashBefore, CrashAfter, CrashSender, Pause, PauseSender, LostAnswer, CutOne, CutBoth, Silent:
		return false
	}
	return false
}

// strike places a fault at a write that is a step.
func (f *fleet) strike(fault Fault, w cable.Write) cable.Action {
	switch fault.(type) {
	case None:
		f.history.Strike(0)
	case CrashBefore:
		f.crash(w.To())
	case CrashAfter:
		f.crashSoon(w.To())
	case CrashSender:
		f.crashSoon(w.From())
	case Pause:
		f.freeze(w.To())
	case PauseSender:
		f.freeze(w.From())
	case LostAnswer:
		f.loseAnswer(w.From(), w.To())
	case Duplicate:
		return f.repeat()
	case Delay:
		return f.slow(w.From(), w.To())
	case Reorder:
		return f.reorder()
	case CutOne:
		f.isolate(domainOf(w), true)
	case CutBoth:
		f.isolate(domainOf(w), false)
	case Silent:
		f.cable.Blackhole(w.From(), w.To())
		f.history.Strike(cable.KeepAliveTimeout)
	case StoreDown:
		f.ail(fake.Down{})
	case StoreSlow:
		f.ail(fake.NewSlow(slowBy))
	case StoreLost:
		f.ail(fake.Lost{})
	}
	return nil
}

// crashSoon crashes a process once the write has arrived.
func (f *fleet) crashSoon(ip string) {
	time.AfterFunc(2*linkDelay, func() { f.crash(ip) })
	f.history.Strike(lasts)
}

func (f *fleet) ail(fault fake.Fault) {
	f.store.SetFault(fault)
	time.AfterFunc(lasts, func() { f.store.SetFault(nil) })
	f.history.Strike(lasts)
}

// crash ends the process at an IP number and starts it again later. The store
// is the platform's: it goes down in place of crashing.
func (f *fleet) crash(ip string) {
	f.history.Strike(lasts)
	switch n := f.at(ip); {
	case n != nil:
		n.crash()
		n.revive(lasts)
	case isBack(ip):
		f.at(strings.TrimSuffix(ip, "2") + "1").target.crash(lasts)
	case ip == storeIP:
		f.ail(fake.Down{})
	}
}

func (f *fleet) freeze(ip string) {
	f.history.Strike(pauses)
	f.cable.Freeze(ip)
	time.AfterFunc(pauses, func() { f.cable.Thaw(ip) })
}

// loseAnswer loses what the receiver of a step answers next to its sender.
func (f *fleet) loseAnswer(from, to string) {
	f.history.Strike(cable.KeepAliveTimeout)
	lost := false
	f.then(func(w cable.Write) cable.Action {
		if lost || w.From() != to || w.To() != from {
			return nil
		}
		lost = true
		return cable.Blackhole{}
	})
}

// repeat makes the links deliver messages twice and callers resend.
func (f *fleet) repeat() cable.Action {
	f.history.Strike(lasts)
	f.resend.Store(true)
	until := time.Now().Add(lasts)
	time.AfterFunc(lasts, func() { f.resend.Store(false) })
	f.then(func(w cable.Write) cable.Action {
		if _, frame := w.Frame(); frame && time.Now().Before(until) {
			return cable.Duplicate{}
		}
		return nil
	})
	return cable.Duplicate{}
}

// reorder swaps messages of the links and makes every other answer late.
func (f *fleet) reorder() cable.Action {
	f.history.Strike(lasts)
	until := time.Now().Add(lasts)
	n := 0
	f.then(func(w cable.Write) cable.Action {
		n++
		if n%2 == 0 || time.Now().After(until) {
			return nil
		}
		if _, frame := w.Frame(); frame {
			return cable.Reorder{}
		}
		if isBack(w.From()) {
			return cable.NewDelay(crossing)
		}
		return nil
	})
	return cable.Reorder{}
}

func (f *fleet) slow(from, to string) cable.Action {
	f.history.Strike(lasts)
	f.cable.SetLinkDelay(from, to, lateBy)
	f.cable.SetLinkDelay(to, from, lateBy)
	time.AfterFunc(lasts, func() {
		f.cable.SetLinkDelay(from, to, 0)
		f.cable.SetLinkDelay(to, from, 0)
	})
	return cable.NewDelay(lateBy)
}

// domainOf returns the number of the failure domain that a write goes to, or
// comes from when it goes to the store.
func domainOf(w cable.Write) byte {
	if w.To() == storeIP {
		return w.From()[3]
	}
	return w.To()[3]
}

// isolate cuts a failure domain off from the others and the store: what comes
// in only, or both ways.
func (f *fleet) isolate(domain byte, in bool) {
	f.history.Strike(lasts)
	inside := func(ip string) bool { return ip[3] == domain }
	f.cable.Partition(inside, in, true)
	time.AfterFunc(lasts, func() { f.cable.Partition(inside, in, false) })
}

package cells

import (
	"strings"
	"time"

	"anvilstand/io/fake"
	"anvilstand/proof/memnet"
)

// Fault is what goes wrong at a step.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault. The receiver and the sender are those of the write that
// matched the step.
type (
	// None is no fault: the step alone must keep the invariants.
	None struct{}
	// CrashBefore crashes the receiver before the write arrives.
	CrashBefore struct{}
	// CrashAfter crashes the receiver after the write arrived.
	CrashAfter struct{}
	// CrashSender crashes the sender after the write arrived.
	CrashSender struct{}
	// Pause stops the receiver past every deadline, then lets it continue.
	Pause struct{}
	// PauseSender stops the sender past every deadline, then lets it continue.
	PauseSender struct{}
	// LostAnswer loses the answer to the write, which takes effect.
	LostAnswer struct{}
	// Duplicate delivers messages on links twice and makes callers send each
	// request twice.
	Duplicate struct{}
	// Delay delays the link between sender and receiver.
	Delay struct{}
	// Reorder delivers messages on links, and answers of targets, out of order.
	Reorder struct{}
	// CutOne cuts everything that is sent into a failure domain.
	CutOne struct{}
	// CutBoth cuts a failure domain off from the others and the store, both
	// ways.
	CutBoth struct{}
	// CutRefusing cuts a failure domain off from the others and the store by
	// refusing connections and resetting open ones.
	CutRefusing struct{}
	// Silent makes open connections drop everything without an error.
	Silent struct{}
	// StoreDown makes the store unavailable.
	StoreDown struct{}
	// StoreSlow makes the store answer late.
	StoreSlow struct{}
	// StoreLost loses the store's answers to writes, which take effect.
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
func (CutRefusing) isFault() {}
func (Silent) isFault()      {}
func (StoreDown) isFault()   {}
func (StoreSlow) isFault()   {}
func (StoreLost) isFault()   {}

// Faults returns every fault. The matrix runs those listed here.
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
		CutRefusing{},
		Silent{},
		StoreDown{},
		StoreSlow{},
		StoreLost{},
	}
}

// Durations and delays of the faults.
const (
	// faultDuration is how long faults other than pauses last.
	faultDuration = 4 * time.Second
	// pauseDuration is how long a paused process is stopped.
	pauseDuration = 6 * time.Second
	// linkLateBy is the one-way delay of a delayed link.
	linkLateBy = 200 * time.Millisecond
	// storeLateBy is the delay of each answer of a slow store.
	storeLateBy = 500 * time.Millisecond
	// answerLateBy is the delay of each reordered answer.
	answerLateBy = 50 * time.Millisecond
)

// keepsConnections reports whether a fault leaves the connections of requests
// intact.
func keepsConnections(fault Fault) bool {
	switch fault.(type) {
	case None, Duplicate, Delay, Reorder, StoreDown, StoreSlow, StoreLost:
		return true
	case CrashBefore, CrashAfter, CrashSender, Pause, PauseSender, LostAnswer, CutOne, CutBoth, CutRefusing, Silent:
		return false
	}
	return false
}

// inject injects a fault at the write that matched the step, and returns what is
// done with the write.
func (f *fleet) inject(fault Fault, w memnet.Write) memnet.Action {
	switch fault.(type) {
	case None:
		f.history.AddFault(0)
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
		return f.duplicate()
	case Delay:
		return f.delayLink(w.From(), w.To())
	case Reorder:
		return f.reorder()
	case CutOne:
		f.isolate(domainDigit(w), true)
	case CutBoth:
		f.isolate(domainDigit(w), false)
	case CutRefusing:
		f.refuse(domainDigit(w))
	case Silent:
		f.net.Blackhole(w.From(), w.To())
		f.history.AddFault(memnet.KeepAliveTimeout)
	case StoreDown:
		f.setStoreFault(fake.Down{})
	case StoreSlow:
		f.setStoreFault(fake.NewSlow(storeLateBy))
	case StoreLost:
		f.setStoreFault(fake.LostAnswer{})
	}
	return nil
}

// crashSoon crashes a process once the write has arrived.
func (f *fleet) crashSoon(ip string) {
	time.AfterFunc(2*linkDelay, func() { f.crash(ip) })
	f.history.AddFault(faultDuration)
}

// setStoreFault makes the store fail for the duration of a fault.
func (f *fleet) setStoreFault(fault fake.Fault) {
	f.store.SetFault(fault)
	time.AfterFunc(faultDuration, func() { f.store.SetFault(nil) })
	f.history.AddFault(faultDuration)
}

// crash crashes the process at an IP address and starts it again later. The
// store is a service of the platform: it becomes unavailable instead.
func (f *fleet) crash(ip string) {
	f.history.AddFault(faultDuration)
	switch n := f.nodeAt(ip); {
	case n != nil:
		n.crash()
		n.restartAfter(faultDuration)
	case isTargetIP(ip):
		f.nodeAt(strings.TrimSuffix(ip, "2") + "1").target.crash(faultDuration)
	case ip == storeIP:
		f.setStoreFault(fake.Down{})
	}
}

// freeze pauses the process at an IP address.
func (f *fleet) freeze(ip string) {
	f.history.AddFault(pauseDuration)
	f.net.Freeze(ip)
	time.AfterFunc(pauseDuration, func() { f.net.Thaw(ip) })
}

// loseAnswer drops the next write from the receiver of the step to its sender,
// and makes that connection drop all that follows.
func (f *fleet) loseAnswer(from, to string) {
	f.history.AddFault(memnet.KeepAliveTimeout)
	lost := false
	f.addTap(func(w memnet.Write) memnet.Action {
		if lost || w.From() != to || w.To() != from {
			return nil
		}
		lost = true
		return memnet.Blackhole{}
	})
}

// duplicate delivers the messages of all links twice and makes callers resend.
func (f *fleet) duplicate() memnet.Action {
	f.history.AddFault(faultDuration)
	f.resend.Store(true)
	until := time.Now().Add(faultDuration)
	time.AfterFunc(faultDuration, func() { f.resend.Store(false) })
	f.addTap(func(w memnet.Write) memnet.Action {
		if _, isFrame := w.Frame(); isFrame && time.Now().Before(until) {
			return memnet.Duplicate{}
		}
		return nil
	})
	return memnet.Duplicate{}
}

// reorder swaps messages of the links, and delays some answers of targets so
// that later ones overtake them.
func (f *fleet) reorder() memnet.Action {
	f.history.AddFault(faultDuration)
	until := time.Now().Add(faultDuration)
	n := 0
	f.addTap(func(w memnet.Write) memnet.Action {
		n++
		if n%2 == 0 || time.Now().After(until) {
			return nil
		}
		if _, isFrame := w.Frame(); isFrame {
			return memnet.Reorder{}
		}
		if isTargetIP(w.From()) {
			return memnet.NewDelay(answerLateBy)
		}
		return nil
	})
	return memnet.Reorder{}
}

// delayLink delays both directions of a link.
func (f *fleet) delayLink(from, to string) memnet.Action {
	f.history.AddFault(faultDuration)
	f.net.SetLinkDelay(from, to, linkLateBy)
	f.net.SetLinkDelay(to, from, linkLateBy)
	time.AfterFunc(faultDuration, func() {
		f.net.SetLinkDelay(from, to, 0)
		f.net.SetLinkDelay(to, from, 0)
	})
	return memnet.NewDelay(linkLateBy)
}

// domainDigit returns the digit of the IP addresses that stands for the failure
// domain that a write goes to, or comes from when it goes to the store.
func domainDigit(w memnet.Write) byte {
	if w.To() == storeIP {
		return w.From()[3]
	}
	return w.To()[3]
}

// isolate cuts a failure domain off from the others and the store: only the
// inbound direction, or both.
func (f *fleet) isolate(domain byte, inboundOnly bool) {
	f.history.AddFault(faultDuration)
	inside := func(ip string) bool { return ip[3] == domain }
	f.net.Partition(inside, inboundOnly, true)
	time.AfterFunc(faultDuration, func() { f.net.Partition(inside, inboundOnly, false) })
}

// refuse cuts a failure domain off from the others and the store by refusing
// connections. Open ones are reset after the write that matched the step.
func (f *fleet) refuse(domain byte) {
	f.history.AddFault(faultDuration)
	inside := func(ip string) bool { return ip[3] == domain }
	time.AfterFunc(linkDelay, func() { f.net.Refuse(inside, true) })
	time.AfterFunc(faultDuration, func() { f.net.Refuse(inside, false) })
}

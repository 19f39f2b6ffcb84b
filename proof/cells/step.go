package cells

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"anvilstand/proof/memnet"
)

// Step is a step of a protocol at which a fault is injected: a kind of write on
// the network.
//
//sumtype:decl
type Step interface{ isStep() }

// Members of Step.
type (
	// Request is a request on its way to the daemon beside its target.
	Request struct{}
	// Answer is a target's answer on its way to the daemon beside it.
	Answer struct{}
	// Relayed is an answer on its way from daemon to daemon.
	Relayed struct{}
	// Transfer is a message between daemons about quotas, such as a grant.
	Transfer struct{}
	// Commit is an operator's change on its way into the store.
	Commit struct{}
	// Spread is a committed change on its way from the store to a daemon.
	Spread struct{}
	// Gossip is a message of configuration or membership between daemons.
	Gossip struct{}
	// Announce is the first write to the store by a daemon that stops and restarts
	// at once, whether it belongs to the stop or to the start.
	Announce struct{}
	// Leave is a write to the store by a daemon in its planned stop.
	Leave struct{}
	// Takeover is a daemon that takes over the quota leases of one that crashed.
	Takeover struct{}
	// Stop is a request sent to a daemon in its planned stop.
	Stop struct{}
)

func (Request) isStep()  {}
func (Answer) isStep()   {}
func (Relayed) isStep()  {}
func (Transfer) isStep() {}
func (Commit) isStep()   {}
func (Spread) isStep()   {}
func (Gossip) isStep()   {}
func (Announce) isStep() {}
func (Leave) isStep()    {}
func (Takeover) isStep() {}
func (Stop) isStep()     {}

// Steps returns every step. The matrix runs those listed here.
func Steps() []Step {
	return []Step{
		Request{},
		Answer{},
		Relayed{},
		Transfer{},
		Commit{},
		Spread{},
		Gossip{},
		Announce{},
		Leave{},
		Takeover{},
		Stop{},
	}
}

// Kinds of messages between daemons, as package codec numbers them. Those of
// membership and configuration come before those of quotas.
const (
	firstGossipKind = 20
	firstQuotaKind  = 40
	lastQuotaKind   = 59
)

// trigger makes the step happen, without waiting. Steps that ordinary traffic
// and commands cause need no trigger.
func (f *fleet) trigger(s Step) {
	stopping := f.nodes[0]
	switch s.(type) {
	case Takeover:
		holder := f.leaseHolder()
		holder.crash()
		holder.restartAfter(faultDuration)
	case Announce:
		f.group.Go(func() error {
			stopping.leave()
			return stopping.start()
		})
	case Leave, Stop:
		f.group.Go(func() error {
			stopping.leave()
			time.Sleep(faultDuration)
			return stopping.start()
		})
	case Request, Answer, Relayed, Transfer, Commit, Spread, Gossip:
	}
}

// matchesStep reports whether a write is the step.
func (f *fleet) matchesStep(s Step, w memnet.Write) bool {
	stopping := f.nodes[0].daemonIP()
	toStore, fromStore := w.To() == storeIP, w.From() == storeIP
	switch s.(type) {
	case Request:
		return f.nodeAt(w.To()) != nil && f.nodeAt(w.From()) != nil && bytes.Contains(w.Data(), []byte("/relay/"))
	case Answer:
		return f.nodeAt(w.To()) != nil && isTargetIP(w.From()) && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200"))
	case Relayed:
		return f.nodeAt(w.To()) != nil && f.nodeAt(w.From()) != nil && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200"))
	case Transfer:
		k := messageKind(w)
		return k >= firstQuotaKind && k <= lastQuotaKind
	case Commit:
		return toStore && bytes.HasPrefix(w.Data(), []byte("PUT /key/conf"))
	case Spread:
		return fromStore && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200")) && bytes.Contains(w.Data(), []byte("withdraw"))
	case Gossip:
		k := messageKind(w)
		return k >= firstGossipKind && k < firstQuotaKind
	case Announce:
		return toStore && w.From() == stopping && bytes.HasPrefix(w.Data(), []byte("PUT "))
	case Leave:
		return toStore && w.From() == stopping && bytes.HasPrefix(w.Data(), []byte("PUT "))
	case Takeover:
		return isLeaseWrite(w)
	case Stop:
		return w.To() == stopping && bytes.Contains(w.Data(), []byte(" HTTP/1.1"))
	}
	return false
}

// isLeaseWrite reports whether a write swaps a record of quota leases in the
// store.
func isLeaseWrite(w memnet.Write) bool {
	return w.To() == storeIP && bytes.HasPrefix(w.Data(), []byte("PUT /key/share"))
}

// leaseHolder returns a daemon that holds a quota lease of the first organisation
// according to the store, or else the first daemon.
func (f *fleet) leaseHolder() *node {
	item, err := f.store.Get(context.Background(), quotaKey)
	for _, n := range f.nodes {
		if err == nil && bytes.Contains(item.Data(), []byte(n.name())) {
			return n
		}
	}
	return f.nodes[0]
}

// quotaKey is the store's key of the record of the first organisation's quota leases.
const quotaKey = "share.acme"

// breaksConnections reports whether the step by itself breaks connections, as
// the crash before a takeover does.
func breaksConnections(s Step) bool {
	_, crashes := s.(Takeover)
	return crashes
}

// isTargetIP reports whether an IP address is that of a target.
func isTargetIP(ip string) bool { return strings.HasSuffix(ip, ".2") }

// messageKind returns the kind of a message between daemons, or zero for any
// other write.
func messageKind(w memnet.Write) int {
	frame, ok := w.Frame()
	if !ok {
		return 0
	}
	var fields []cbor.RawMessage
	if cbor.Unmarshal(frame, &fields) != nil || len(fields) < 2 {
		return 0
	}
	var kind int
	if cbor.Unmarshal(fields[1], &kind) != nil {
		return 0
	}
	return kind
}

package cells

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"anvilstand/proof/cable"
)

// Step is a step of a protocol, at which a fault is placed.
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
	// Transfer is a message that moves a share.
	Transfer struct{}
	// Commit is an operator's change on its way into the store.
	Commit struct{}
	// Spread is a change on its way from the store to a daemon.
	Spread struct{}
	// Gossip is a message of configuration or membership between daemons.
	Gossip struct{}
	// Announce is a new daemon that writes to the store.
	Announce struct{}
	// Leave is a daemon in its planned stop that writes to the store.
	Leave struct{}
	// Takeover is a daemon that takes over the shares of one that crashed.
	Takeover struct{}
	// Stop is a request that is sent to a daemon in its planned stop.
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

// Steps returns every step. A new one is declared here.
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

// Kinds of messages, as package codec numbers them.
const (
	firstFleet = 20
	firstShare = 40
	lastShare  = 59
)

// provoke makes the step happen. It does not wait.
func (f *fleet) provoke(s Step) {
	victim := f.nodes[0]
	switch s.(type) {
	case Takeover:
		holder := f.holder()
		holder.crash()
		holder.revive(lasts)
	case Announce:
		f.group.Go(func() error {
			victim.leave()
			return victim.start()
		})
	case Leave, Stop:
		f.group.Go(func() error {
			victim.leave()
			time.Sleep(lasts)
			return victim.start()
		})
	case Request, Answer, Relayed, Transfer, Commit, Spread, Gossip:
	}
}

// happens reports whether a write is the step.
func (f *fleet) happens(s Step, w cable.Write) bool {
	victim := f.nodes[0].ip()
	toStore, fromStore := w.To() == storeIP, w.From() == storeIP
	switch s.(type) {
	case Request:
		return f.at(w.To()) != nil && f.at(w.From()) != nil && bytes.Contains(w.Data(), []byte("/relay/"))
	case Answer:
		return f.at(w.To()) != nil && isBack(w.From()) && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200"))
	case Relayed:
		return f.at(w.To()) != nil && f.at(w.From()) != nil && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200"))
	case Transfer:
		k := kindOf(w)
		return k >= firstShare && k <= lastShare
	case Commit:
		return toStore && bytes.HasPrefix(w.Data(), []byte("PUT /key/conf"))
	case Spread:
		return fromStore && bytes.HasPrefix(w.Data(), []byte("HTTP/1.1 200")) && bytes.Contains(w.Data(), []byte("withdraw"))
	case Gossip:
		k := kindOf(w)
		return k >= firstFleet && k < firstShare
	case Announce:
		return toStore && w.From() == victim && bytes.HasPrefix(w.Data(), []byte("PUT "))
	case Leave:
		return toStore && w.From() == victim && bytes.HasPrefix(w.Data(), []byte("PUT "))
	case Takeover:
		return isClaim(w)
	case Stop:
		return w.To() == victim && bytes.Contains(w.Data(), []byte(" HTTP/1.1"))
	}
	return false
}

// isClaim reports whether a write claims a share in the store.
func isClaim(w cable.Write) bool {
	return w.To() == storeIP && bytes.HasPrefix(w.Data(), []byte("PUT /key/share"))
}

// holder returns a daemon that the store says holds a share.
func (f *fleet) holder() *node {
	item, err := f.store.Get(context.Background(), shareKey)
	for _, n := range f.nodes {
		if err == nil && bytes.Contains(item.Data(), []byte(n.name())) {
			return n
		}
	}
	return f.nodes[0]
}

// shareKey is where the store holds the shares of the first tenant.
const shareKey = "share.acme"

// disturbs reports whether the step by itself breaks connections.
func disturbs(s Step) bool {
	_, crash := s.(Takeover)
	return crash
}

// isBack reports whether an IP number is a target's.
func isBack(ip string) bool { return strings.HasSuffix(ip, ".2") }

// kindOf returns the number of a control message's kind, or zero.
func kindOf(w cable.Write) int {
	frame, ok := w.Frame()
	if !ok {
		return 0
	}
	var parts []cbor.RawMessage
	if cbor.Unmarshal(frame, &parts) != nil || len(parts) < 2 {
		return 0
	}
	var kind int
	if cbor.Unmarshal(parts[1], &kind) != nil {
		return 0
	}
	return kind
}

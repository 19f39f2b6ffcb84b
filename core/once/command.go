package once

import (
	"slices"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Observe takes the members of the service that take new work.
func (b *Book) Observe(now model.Instant, members []fleet.Member) {
	if n := len(b.views); n > 0 && slices.EqualFunc(b.views[n-1].members, members, samePlace) {
		return
	}
	b.views = append(b.views, view{since: now, members: members})
	begin := now.Add(-b.window)
	for len(b.views) > 1 && !begin.Before(b.views[1].since) {
		b.views = b.views[1:]
	}
}

// samePlace reports whether two members are the same to the rendezvous hash.
func samePlace(a, b fleet.Member) bool {
	return a.Name() == b.Name() && a.Domain() == b.Domain() && a.Address() == b.Address()
}

// Begin brings a request to the daemon that is to run it, with the time left
// until its deadline. An error is a refusal: of a key that has run or may have
// run, or of a request that did not run.
func (b *Book) Begin(now model.Instant, k Key, left time.Duration, out *Outbox) error {
	b.expire(now)
	if r, ok := b.records[k]; ok {
		return replay(r, out)
	}
	peer, inPair := b.other(k)
	if !inPair {
		return model.Refuse(model.NoTarget{}, 0)
	}
	if peer.Name() == "" && !b.Knows(now, k) {
		return model.Fail(model.Repeat{})
	}
	if err := b.add(now, k, left, running{}); err != nil {
		return err
	}
	if peer.Name() == "" {
		out.add(Start{})
		return nil
	}
	out.add(Confirm{peer: peer})
	return nil
}

func replay(r *record, out *Outbox) error {
	switch s := r.state.(type) {
	case held:
		out.add(Replay(s))
		return nil
	case claimed, running, ended:
		return model.Fail(model.Repeat{})
	}
	return model.Fail(model.Repeat{})
}

// Confirmed brings the other daemon's word that it noted the key. Without an
// error the request may run.
func (b *Book) Confirmed(now model.Instant, k Key, vouched bool) error {
	r, ok := b.records[k]
	if !ok {
		return model.Fail(model.Repeat{})
	}
	if _, ok := r.state.(running); !ok {
		return model.Fail(model.Repeat{})
	}
	if vouched || b.Knows(now, k) {
		return nil
	}
	b.Drop(k)
	return model.Fail(model.Repeat{})
}

// Claim notes a key that another process is about to run. An error is a
// refusal: this daemon knows the key already, or has no room.
func (b *Book) Claim(now model.Instant, k Key, left time.Duration, by Process, out *Outbox) error {
	b.expire(now)
	vouched := b.Knows(now, k)
	if r, ok := b.records[k]; ok {
		if s, ok := r.state.(claimed); !ok || s.by != by {
			return model.Fail(model.Repeat{})
		}
	} else if err := b.add(now, k, left, claimed{by: by}); err != nil {
		return err
	}
	out.add(Noted{vouched: vouched})
	return nil
}

// Drop forgets a key whose request did not reach the target.
func (b *Book) Drop(k Key) {
	if r, ok := b.records[k]; ok {
		if _, ok := r.state.(running); ok {
			delete(b.records, k)
		}
	}
}

// Finish ends a key whose request ran, with its answer, or nil when that is not
// known whole.
func (b *Book) Finish(k Key, a *Answer) {
	r, ok := b.records[k]
	if !ok {
		return
	}
	if a == nil || len(a.body) > MaxAnswer {
		r.state = ended{}
		return
	}
	r.state = held{answer: a}
	b.answers = append(b.answers, k)
	b.bytes += len(a.body)
	for b.bytes > MaxHeld {
		oldest := b.answers[0]
		b.answers = b.answers[1:]
		b.release(b.records[oldest])
	}
}

// release lets go of a held answer.
func (b *Book) release(r *record) {
	if r == nil {
		return
	}
	if s, ok := r.state.(held); ok {
		b.bytes -= len(s.answer.body)
		r.state = ended{}
	}
}

func (b *Book) add(now model.Instant, k Key, left time.Duration, s state) error {
	if len(b.records) >= MaxRecords {
		return model.Refuse(model.QueueFull{}, 0)
	}
	until := now.Add(b.window + model.Guard(left))
	b.records[k] = &record{until: until, state: s}
	b.expiry = append(b.expiry, expiry{key: k, until: until})
	return nil
}

// expire forgets the records whose time is over. The list is in the order of
// creation, so a long deadline keeps the shorter ones behind it a little longer.
func (b *Book) expire(now model.Instant) {
	for len(b.expiry) > 0 && b.expiry[0].until.Before(now) {
		e := b.expiry[0]
		b.expiry = b.expiry[1:]
		if r, ok := b.records[e.key]; ok && r.until == e.until {
			b.release(r)
			delete(b.records, e.key)
		}
	}
	for len(b.answers) > 0 && b.records[b.answers[0]] == nil {
		b.answers = b.answers[1:]
	}
}

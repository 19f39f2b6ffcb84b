package once

import (
	"slices"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Observe records a change of the members of the service that take new work. It
// forgets memberships that ended before the last window.
func (b *Registry) Observe(now model.Instant, members []fleet.Member) {
	if n := len(b.memberships); n > 0 && slices.EqualFunc(b.memberships[n-1].members, members, sameMember) {
		return
	}
	b.memberships = append(b.memberships, membership{since: now, members: members})
	windowStart := now.Add(-b.window)
	for len(b.memberships) > 1 && !windowStart.Before(b.memberships[1].since) {
		b.memberships = b.memberships[1:]
	}
}

// sameMember reports whether two members are the same as regards the pairs of
// keys and the address of a claim.
func sameMember(a, b fleet.Member) bool {
	return a.Name() == b.Name() && a.Domain() == b.Domain() && a.Address() == b.Address()
}

// Begin records a key whose request this daemon is about to run, with the time
// left until its deadline. It adds the action that comes next to out. An error is
// a refusal: the key has run or may have run, this daemon is not of the key's
// pair, or there are too many records.
func (b *Registry) Begin(now model.Instant, k Key, left time.Duration, out *Outbox) error {
	b.expire(now)
	if r, ok := b.records[k]; ok {
		return replay(r, out)
	}
	peer, inPair := b.peer(k)
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
	out.add(SendClaim{peer: peer})
	return nil
}

func replay(r *record, out *Outbox) error {
	switch s := r.state.(type) {
	case stored:
		out.add(Replay(s))
		return nil
	case claimed, running, finished:
		return model.Fail(model.Repeat{})
	}
	return model.Fail(model.Repeat{})
}

// ClaimAnswered records that the other daemon has answered the claim of the key, and
// whether it was certain that the key has not run. The request may run unless
// there is an error, which is a refusal.
func (b *Registry) ClaimAnswered(now model.Instant, k Key, keyIsNew bool) error {
	r, ok := b.records[k]
	if !ok {
		return model.Fail(model.Repeat{})
	}
	if _, ok := r.state.(running); !ok {
		return model.Fail(model.Repeat{})
	}
	if keyIsNew || b.Knows(now, k) {
		return nil
	}
	b.Abort(k)
	return model.Fail(model.Repeat{})
}

// Claim records a key whose request the process by, the other of the pair, is
// about to run. The same process may claim a key again. An error is a refusal: the
// key is recorded for another process or for this one, or there are too many
// records.
func (b *Registry) Claim(now model.Instant, k Key, left time.Duration, by Process, out *Outbox) error {
	b.expire(now)
	keyIsNew := b.Knows(now, k)
	if r, ok := b.records[k]; ok {
		if s, ok := r.state.(claimed); !ok || s.by != by {
			return model.Fail(model.Repeat{})
		}
	} else if err := b.add(now, k, left, claimed{by: by}); err != nil {
		return err
	}
	out.add(ClaimReply{keyIsNew: keyIsNew})
	return nil
}

// Abort deletes the record of a key whose request did not reach the target, so
// that this daemon accepts the key again.
func (b *Registry) Abort(k Key) {
	if r, ok := b.records[k]; ok {
		if _, ok := r.state.(running); ok {
			delete(b.records, k)
		}
	}
}

// Finish records the answer to a request that ran. A nil answer means that the
// request may have run and its answer is not known completely.
func (b *Registry) Finish(k Key, a *Answer) {
	r, ok := b.records[k]
	if !ok {
		return
	}
	if a == nil || len(a.body) > MaxAnswerBytes {
		r.state = finished{}
		return
	}
	r.state = stored{answer: a}
	b.storedKeys = append(b.storedKeys, k)
	b.storedBytes += len(a.body)
	for b.storedBytes > MaxStoredBytes {
		oldest := b.storedKeys[0]
		b.storedKeys = b.storedKeys[1:]
		b.dropAnswer(b.records[oldest])
	}
}

// dropAnswer frees the stored answer of a record and keeps the record.
func (b *Registry) dropAnswer(r *record) {
	if r == nil {
		return
	}
	if s, ok := r.state.(stored); ok {
		b.storedBytes -= len(s.answer.body)
		r.state = finished{}
	}
}

func (b *Registry) add(now model.Instant, k Key, left time.Duration, s state) error {
	if len(b.records) >= MaxRecords {
		return model.Refuse(model.QueueFull{}, 0)
	}
	expires := now.Add(b.window + model.WithDrift(left))
	b.records[k] = &record{expires: expires, state: s}
	b.expiry = append(b.expiry, expiryEntry{key: k, expires: expires})
	return nil
}

// expire deletes the expired records. The list is in the order of creation, so a
// record with a long deadline keeps later ones with shorter deadlines beyond
// their expiry.
func (b *Registry) expire(now model.Instant) {
	for len(b.expiry) > 0 && b.expiry[0].expires.Before(now) {
		e := b.expiry[0]
		b.expiry = b.expiry[1:]
		if r, ok := b.records[e.key]; ok && r.expires == e.expires {
			b.dropAnswer(r)
			delete(b.records, e.key)
		}
	}
	for len(b.storedKeys) > 0 && b.records[b.storedKeys[0]] == nil {
		b.storedKeys = b.storedKeys[1:]
	}
}

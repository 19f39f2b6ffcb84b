package once

import (
	"slices"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Observe records a change of the members of the service that take new work. It deletes
// memberships that ended before the last window.
func (reg *Registry) Observe(now model.Instant, members []fleet.Member) {
	if n := len(reg.memberships); n > 0 && slices.EqualFunc(reg.memberships[n-1].members, members, sameMember) {
		return
	}
	reg.memberships = append(reg.memberships, membership{since: now, members: members})
	windowStart := now.Add(-reg.retention)
	for len(reg.memberships) > 1 && !windowStart.Before(reg.memberships[1].since) {
		reg.memberships = reg.memberships[1:]
	}
}

// sameMember reports whether two members have the same name, domain and address, which
// determine the pairs of keys and where claims are sent.
func sameMember(a, b fleet.Member) bool {
	return a.Name() == b.Name() && a.Domain() == b.Domain() && a.Address() == b.Address()
}

// Begin records a key whose request this daemon is about to run, with the time left
// until its deadline, and adds the next action to out: Replay, SendClaim or
// RunUnclaimed. The last two have a number, which later calls about this execution have to
// name: a process that was paused may end one after its record has expired and the key is
// recorded anew. The error is a *model.Refusal: Repeat when the key has run or may have
// run, NoTarget when this daemon is not of the key's pair, QueueFull when there are too
// many records.
func (reg *Registry) Begin(now model.Instant, k Key, left time.Duration, out *Outbox) error {
	reg.expire(now)
	if r, ok := reg.records[k]; ok {
		return replay(r, out)
	}
	other, inPair := reg.other(k)
	if !inPair {
		return model.Refuse(model.NoTarget{}, 0)
	}
	if other.Name() == "" && !reg.InPairForWindow(now, k) {
		return model.Fail(model.Repeat{})
	}
	reg.lastNumber++
	number := reg.lastNumber
	if err := reg.add(now, k, left, running{other: other, number: number}); err != nil {
		return err
	}
	if other.Name() == "" {
		out.add(RunUnclaimed{number: number})
		return nil
	}
	out.add(SendClaim{other: other, number: number})
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

// ClaimAnswered records that the other daemon has recorded the claim of the key, and
// whether it was certain that the key has not run. Without an error the request may
// run. The error is a *model.Refusal of Repeat: neither daemon is certain, or the key
// is no longer recorded as running here.
func (reg *Registry) ClaimAnswered(now model.Instant, k Key, number uint64, keyIsNew bool) error {
	if _, ok := reg.running(k, number); !ok {
		return model.Fail(model.Repeat{})
	}
	if keyIsNew || reg.InPairForWindow(now, k) {
		return nil
	}
	delete(reg.records, k)
	return model.Fail(model.Repeat{})
}

// Claim records a key whose request the claimant, the other of the pair, is about to
// run, and adds a ClaimReply to out. The same process may claim a key again. The error
// is a *model.Refusal: Repeat when the key is recorded for another process or for this
// daemon, QueueFull when there are too many records.
func (reg *Registry) Claim(now model.Instant, c Claim, left time.Duration, out *Outbox) error {
	reg.expire(now)
	if r, ok := reg.records[c.key]; ok {
		s, ok := r.state.(claimed)
		if !ok || s.claim.by != c.by {
			return model.Fail(model.Repeat{})
		}
		reg.renew(now, r, left, newest(s.claim, c))
	} else if err := reg.add(now, c.key, left, claimed{claim: c}); err != nil {
		return err
	}
	out.add(ClaimReply{keyIsNew: reg.InPairForWindow(now, c.key)})
	return nil
}

// newest returns the claim with the higher number. An older claim may arrive after a newer
// one, and its release must not end that.
func newest(a, b Claim) Claim {
	if b.number > a.number {
		return b
	}
	return a
}

// renew records that a key was claimed again by the same process. The request of the new
// claim may run later than that of the first one, so the record is kept for longer.
func (reg *Registry) renew(now model.Instant, r *record, left time.Duration, c Claim) {
	r.state = claimed{claim: c}
	if expires := reg.expiresAt(now, left); r.expires.Before(expires) {
		r.expires = expires
		reg.expiry = append(reg.expiry, expiryEntry{key: c.key, expires: expires})
	}
}

// Release deletes the record of a claim whose request did not run, so that this daemon
// accepts the key again. It does nothing when the key is recorded for another claim, or
// not at all: a release may arrive late, more than once, or before its claim.
func (reg *Registry) Release(c Claim) {
	r, ok := reg.records[c.key]
	if !ok || c.number == 0 {
		return
	}
	if s, ok := r.state.(claimed); ok && s.claim == c {
		delete(reg.records, c.key)
	}
}

// running returns the state of a key that is recorded for the execution with the number.
func (reg *Registry) running(k Key, number uint64) (running, bool) {
	r, ok := reg.records[k]
	if !ok {
		return running{}, false
	}
	s, ok := r.state.(running)
	return s, ok && s.number == number
}

// Abort deletes the record of an execution that did not reach the target, so that this
// daemon accepts the key again. It adds a SendRelease to out when the key was claimed at
// another daemon.
func (reg *Registry) Abort(k Key, number uint64, out *Outbox) {
	s, ok := reg.running(k, number)
	if !ok {
		return
	}
	delete(reg.records, k)
	if s.other.Name() != "" {
		out.add(SendRelease(s))
	}
}

// Finish records the response to an execution. A nil response means that the
// request may have run and its response is not known completely.
func (reg *Registry) Finish(k Key, number uint64, resp *Response) {
	if _, ok := reg.running(k, number); !ok {
		return
	}
	r := reg.records[k]
	if resp == nil || len(resp.body) > MaxResponseBytes {
		r.state = finished{}
		return
	}
	r.state = stored{response: resp}
	reg.storedKeys = append(reg.storedKeys, k)
	reg.storedBytes += len(resp.body)
	for reg.storedBytes > MaxStoredBytes {
		oldest := reg.storedKeys[0]
		reg.storedKeys = reg.storedKeys[1:]
		reg.dropResponse(reg.records[oldest])
	}
}

// dropResponse frees the stored response of a record and keeps the record.
func (reg *Registry) dropResponse(r *record) {
	if r == nil {
		return
	}
	if s, ok := r.state.(stored); ok {
		reg.storedBytes -= len(s.response.body)
		r.state = finished{}
	}
}

func (reg *Registry) add(now model.Instant, k Key, left time.Duration, s state) error {
	if len(reg.records) >= MaxRecords {
		return model.Refuse(model.QueueFull{}, 0)
	}
	expires := reg.expiresAt(now, left)
	reg.records[k] = &record{expires: expires, state: s}
	reg.expiry = append(reg.expiry, expiryEntry{key: k, expires: expires})
	return nil
}

// expiresAt returns when a record made now expires, for a request with the given time left.
func (reg *Registry) expiresAt(now model.Instant, left time.Duration) model.Instant {
	return now.Add(reg.retention + model.WithDrift(left))
}

// expire deletes expired records from the front of the list. The list is in the order of
// creation, so a record with a long deadline keeps later ones with shorter deadlines
// beyond their expiry.
func (reg *Registry) expire(now model.Instant) {
	for len(reg.expiry) > 0 && reg.expiry[0].expires.Before(now) {
		e := reg.expiry[0]
		reg.expiry = reg.expiry[1:]
		if r, ok := reg.records[e.key]; ok && r.expires == e.expires {
			reg.dropResponse(r)
			delete(reg.records, e.key)
		}
	}
	for len(reg.storedKeys) > 0 && reg.records[reg.storedKeys[0]] == nil {
		reg.storedKeys = reg.storedKeys[1:]
	}
}

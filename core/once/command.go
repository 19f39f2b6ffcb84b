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
// RunUnclaimed. The error is a *model.Refusal: Repeat when the key has run or may have
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
	if err := reg.add(now, k, left, running{}); err != nil {
		return err
	}
	if other.Name() == "" {
		out.add(RunUnclaimed{})
		return nil
	}
	out.add(SendClaim{other: other})
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
func (reg *Registry) ClaimAnswered(now model.Instant, k Key, keyIsNew bool) error {
	r, ok := reg.records[k]
	if !ok {
		return model.Fail(model.Repeat{})
	}
	if _, ok := r.state.(running); !ok {
		return model.Fail(model.Repeat{})
	}
	if keyIsNew || reg.InPairForWindow(now, k) {
		return nil
	}
	reg.Abort(k)
	return model.Fail(model.Repeat{})
}

// Claim records a key whose request the process by, the other of the pair, is about to
// run, and adds a ClaimReply to out. The same process may claim a key again. The error
// is a *model.Refusal: Repeat when the key is recorded for another process or for this
// daemon, QueueFull when there are too many records.
func (reg *Registry) Claim(now model.Instant, k Key, left time.Duration, by Process, out *Outbox) error {
	reg.expire(now)
	keyIsNew := reg.InPairForWindow(now, k)
	if r, ok := reg.records[k]; ok {
		if s, ok := r.state.(claimed); !ok || s.by != by {
			return model.Fail(model.Repeat{})
		}
	} else if err := reg.add(now, k, left, claimed{by: by}); err != nil {
		return err
	}
	out.add(ClaimReply{keyIsNew: keyIsNew})
	return nil
}

// Abort deletes the record of a key whose request did not reach the target, so
// that this daemon accepts the key again.
func (reg *Registry) Abort(k Key) {
	if r, ok := reg.records[k]; ok {
		if _, ok := r.state.(running); ok {
			delete(reg.records, k)
		}
	}
}

// Finish records the response to a request that ran. A nil response means that the
// request may have run and its response is not known completely.
func (reg *Registry) Finish(k Key, resp *Response) {
	r, ok := reg.records[k]
	if !ok {
		return
	}
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
	expires := now.Add(reg.retention + model.WithDrift(left))
	reg.records[k] = &record{expires: expires, state: s}
	reg.expiry = append(reg.expiry, expiryEntry{key: k, expires: expires})
	return nil
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

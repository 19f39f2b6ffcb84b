package quota

import (
	"slices"

	"anvilstand/core/model"
)

// Lease is a quota lease: the right to issue tokens for a part of an
// organisation's rate and burst.
type Lease struct {
	domain     model.Domain
	holder     Holder
	weight     int     // millionths
	level      float64 // tokens left in the bucket when the holder resigned
	challenged bool    // the holder must prove that it is alive
	challenge  uint64  // revision of the record that added the challenge, or zero if not known
	renewable  bool    // the holder grants only while the lease is renewed
}

// NewLease returns the lease of a failure domain. The weight is in millionths;
// the level counts only while the lease is vacant.
func NewLease(d model.Domain, h Holder, weight int, level float64, challenged bool) Lease {
	return Lease{domain: d, holder: h, weight: weight, level: level, challenged: challenged}
}

// Domain returns the failure domain that the lease is for.
func (l Lease) Domain() model.Domain { return l.domain }

// Holder returns the holder. Its incarnation is zero when the lease is vacant.
func (l Lease) Holder() Holder { return l.holder }

// Weight returns the part of rate and burst, in millionths.
func (l Lease) Weight() int { return l.weight }

// Level returns the tokens that were in the bucket when the holder resigned.
// The next holder starts with them.
func (l Lease) Level() float64 { return l.level }

// Challenged reports whether another daemon demands that the holder prove that
// it is alive, by removing the challenge from the record.
func (l Lease) Challenged() bool { return l.challenged }

// AsRenewable returns the lease as one whose holder grants tokens only while the store or
// the contenders renew it, so that it can be taken over soon after the holder is lost.
// Holders of earlier builds grant tokens for the whole lifetime of a lease.
func (l Lease) AsRenewable() Lease {
	l.renewable = true
	return l
}

// Renewable reports whether the holder grants tokens only while the lease is renewed.
func (l Lease) Renewable() bool { return l.renewable }

// WithChallenge returns the lease challenged by the write that led to a revision of the
// record, which tells the challenge from a later one. Zero means that it is not known.
func (l Lease) WithChallenge(rev uint64) Lease {
	l.challenged, l.challenge = true, rev
	return l
}

// Challenge returns the revision of the record that added the challenge. It is zero without
// a challenge, or if a daemon of an earlier build wrote it.
func (l Lease) Challenge() uint64 { return l.challenge }

// withoutChallenge returns the lease without a challenge.
func (l Lease) withoutChallenge() Lease {
	l.challenged, l.challenge = false, 0
	return l
}

// Record is an organisation's entry in the store: its leases, and the weight
// that no holder has had yet. It is an immutable value.
type Record struct {
	leases    []Lease
	neverHeld int    // millionths
	serial    uint64 // writes that led to this record
}

// NewRecord returns a record with serial zero. The weight neverHeld is in
// millionths.
func NewRecord(leases []Lease, neverHeld int) Record {
	return Record{leases: slices.Clone(leases), neverHeld: neverHeld}
}

// Leases returns a copy of the leases, in no particular order.
func (r Record) Leases() []Lease { return slices.Clone(r.leases) }

// NeverHeld returns the weight, in millionths, that no holder has had yet. Its
// part of the burst is unspent, so the holder that claims it starts with these tokens.
func (r Record) NeverHeld() int { return r.neverHeld }

// Serial returns how many writes led to the record, as a revision in the era of the last
// of them (model.VersionAt). After a restore of the store the record with the highest
// serial is the newest one: a copy has fewer writes, and a record that was changed since
// the restore has a later era. Its writer recognises its
// own write by the serial, since the store's versions need not be consecutive.
// Two writers over one version write the same serial; the loser finds that the
// record lacks its change.
func (r Record) Serial() uint64 { return r.serial }

// WithSerial returns the record with another serial.
func (r Record) WithSerial(n uint64) Record {
	r.serial = n
	return r
}

// Free returns the weight without a lease, in millionths, NeverHeld included.
func (r Record) Free() int {
	free := FullWeight
	for _, lease := range r.leases {
		free -= lease.weight
	}
	return free
}

// Valid reports whether weights and levels are in range, and no domain has two
// leases.
func (r Record) Valid() bool {
	seen := map[model.Domain]bool{}
	for _, lease := range r.leases {
		if lease.weight < 0 || lease.weight > FullWeight || lease.level < 0 || seen[lease.domain] {
			return false
		}
		seen[lease.domain] = true
	}
	return r.neverHeld >= 0 && r.neverHeld <= r.Free()
}

// Lease returns the lease of a failure domain, and whether there is one.
func (r Record) Lease(d model.Domain) (Lease, bool) {
	for _, lease := range r.leases {
		if lease.domain == d {
			return lease, true
		}
	}
	return Lease{}, false
}

// with returns the record with a lease added or replaced.
func (r Record) with(lease Lease) Record {
	r.leases = r.without(lease.domain).leases
	r.leases = append(r.leases, lease)
	return r
}

// without returns the record without the lease of a domain.
func (r Record) without(d model.Domain) Record {
	r.leases = slices.DeleteFunc(slices.Clone(r.leases), func(lease Lease) bool { return lease.domain == d })
	return r
}

package share

import (
	"slices"

	"anvilstand/core/model"
)

// Title is the right to issue a part of an organisation's rate and burst.
type Title struct {
	domain     model.Domain
	holder     Holder
	weight     int     // millionths
	level      float64 // tokens that a holder left when it resigned
	challenged bool
}

// NewTitle returns a title of a failure domain.
func NewTitle(d model.Domain, h Holder, weight int, level float64, challenged bool) Title {
	return Title{domain: d, holder: h, weight: weight, level: level, challenged: challenged}
}

// Domain returns the failure domain that the title is for.
func (l Title) Domain() model.Domain { return l.domain }

// Holder returns who holds the title. Its process is zero when it is vacant.
func (l Title) Holder() Holder { return l.holder }

// Weight returns the part of rate and burst, in millionths.
func (l Title) Weight() int { return l.weight }

// Level returns the tokens that a holder left when it resigned.
func (l Title) Level() float64 { return l.level }

// Notice reports whether another daemon asks the holder to show that it lives.
func (l Title) Notice() bool { return l.challenged }

// Record is what the store keeps of an organisation: its titles, and the
// weight that nobody has held yet. It is a value and is never changed.
type Record struct {
	leases    []Title
	neverHeld int
	serial    uint64
}

// NewRecord returns a record.
func NewRecord(leases []Title, neverHeld int) Record {
	return Record{leases: slices.Clone(leases), neverHeld: neverHeld}
}

// Titles returns the titles.
func (r Record) Titles() []Title { return slices.Clone(r.leases) }

// Fresh returns the weight that nobody has held yet. A claimer finds its part
// of the burst there.
func (r Record) Fresh() int { return r.neverHeld }

// Serial returns how many writes led to the record. Its writer knows it again
// by that, whatever versions the store gives.
func (r Record) Serial() uint64 { return r.serial }

// WithSerial returns the record as that of another write.
func (r Record) WithSerial(n uint64) Record {
	r.serial = n
	return r
}

// Free returns the weight that no title has, the fresh weight included.
func (r Record) Free() int {
	free := Whole
	for _, lease := range r.leases {
		free -= lease.weight
	}
	return free
}

// Valid reports whether the weights are in range.
func (r Record) Valid() bool {
	seen := map[model.Domain]bool{}
	for _, lease := range r.leases {
		if lease.weight < 0 || lease.weight > Whole || lease.level < 0 || seen[lease.domain] {
			return false
		}
		seen[lease.domain] = true
	}
	return r.neverHeld >= 0 && r.neverHeld <= r.Free()
}

// Title returns the title of a failure domain.
func (r Record) Title(d model.Domain) (Title, bool) {
	for _, lease := range r.leases {
		if lease.domain == d {
			return lease, true
		}
	}
	return Title{}, false
}

// with returns the record with a title added or replaced.
func (r Record) with(lease Title) Record {
	r.leases = r.without(lease.domain).leases
	r.leases = append(r.leases, lease)
	return r
}

// without returns the record without a title.
func (r Record) without(d model.Domain) Record {
	r.leases = slices.DeleteFunc(slices.Clone(r.leases), func(lease Title) bool { return lease.domain == d })
	return r
}

package share

import (
	"slices"

	"anvilstand/core/model"
)

// Title is the right to issue a part of an organisation's rate and burst.
type Title struct {
	domain model.Domain
	holder Holder
	weight int     // millionths
	level  float64 // tokens that a holder left when it resigned
	notice bool
}

// NewTitle returns a title of a failure domain.
func NewTitle(d model.Domain, h Holder, weight int, level float64, notice bool) Title {
	return Title{domain: d, holder: h, weight: weight, level: level, notice: notice}
}

// Domain returns the failure domain that the title is for.
func (t Title) Domain() model.Domain { return t.domain }

// Holder returns who holds the title. Its process is zero when it is vacant.
func (t Title) Holder() Holder { return t.holder }

// Weight returns the part of rate and burst, in millionths.
func (t Title) Weight() int { return t.weight }

// Level returns the tokens that a holder left when it resigned.
func (t Title) Level() float64 { return t.level }

// Notice reports whether another daemon asks the holder to show that it lives.
func (t Title) Notice() bool { return t.notice }

// Record is what the store keeps of an organisation: its titles, and the
// weight that nobody has held yet. It is a value and is never changed.
type Record struct {
	titles []Title
	fresh  int
	serial uint64
}

// NewRecord returns a record.
func NewRecord(titles []Title, fresh int) Record {
	return Record{titles: slices.Clone(titles), fresh: fresh}
}

// Titles returns the titles.
func (r Record) Titles() []Title { return slices.Clone(r.titles) }

// Fresh returns the weight that nobody has held yet. A claimer finds its part
// of the burst there.
func (r Record) Fresh() int { return r.fresh }

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
	for _, t := range r.titles {
		free -= t.weight
	}
	return free
}

// Valid reports whether the weights are in range.
func (r Record) Valid() bool {
	seen := map[model.Domain]bool{}
	for _, t := range r.titles {
		if t.weight < 0 || t.weight > Whole || t.level < 0 || seen[t.domain] {
			return false
		}
		seen[t.domain] = true
	}
	return r.fresh >= 0 && r.fresh <= r.Free()
}

// Title returns the title of a failure domain.
func (r Record) Title(d model.Domain) (Title, bool) {
	for _, t := range r.titles {
		if t.domain == d {
			return t, true
		}
	}
	return Title{}, false
}

// with returns the record with a title added or replaced.
func (r Record) with(t Title) Record {
	r.titles = r.without(t.domain).titles
	r.titles = append(r.titles, t)
	return r
}

// without returns the record without a title.
func (r Record) without(d model.Domain) Record {
	r.titles = slices.DeleteFunc(slices.Clone(r.titles), func(t Title) bool { return t.domain == d })
	return r
}

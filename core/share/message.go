package share

import (
	"slices"

	"anvilstand/core/model"
)

// Message is what desks tell each other. A message may be lost, late, doubled
// or out of order.
//
//sumtype:decl
type Message interface{ isMessage() }

// Ask asks the holder of a title for tokens and reports on its lumps.
type Ask struct {
	org      model.Org
	seq      uint64
	from     Holder
	to       model.Incarnation
	version  uint64
	want     int
	onDemand bool
	usage    []Use
}

// Grant answers an Ask. A grant of no tokens says that the pot is empty.
type Grant struct {
	org    model.Org
	seq    uint64
	domain model.Domain
	holder Holder
	id     uint64
	tokens int
	level  float64
}

// Known tells the newest record that the sender knows. It answers an Ask that
// came to a daemon without the title, or comes unasked when a title changed
// hands; its seq is zero then.
type Known struct {
	org     model.Org
	seq     uint64
	sender  Holder
	version uint64
	record  Record
}

func (Ask) isMessage()   {}
func (Grant) isMessage() {}
func (Known) isMessage() {}

// NewAsk returns an ask that the process to, or any when it is zero, answers
// under the number seq. The version is that of the record the asker knows.
func NewAsk(org model.Org, seq uint64, from Holder, to model.Incarnation, version uint64, want int, usage []Use) Ask {
	return Ask{org: org, seq: seq, from: from, to: to, version: version, want: want, usage: slices.Clone(usage)}
}

// AsBrief returns the ask for a lump that lives for Brief.
func (a Ask) AsBrief() Ask {
	a.onDemand = true
	return a
}

// Brief reports whether the lump asked for lives for Brief.
func (a Ask) Brief() bool { return a.onDemand }

// Org returns the organisation.
func (a Ask) Org() model.Org { return a.org }

// Seq returns the number that the answer carries.
func (a Ask) Seq() uint64 { return a.seq }

// From returns who asks.
func (a Ask) From() Holder { return a.from }

// To returns the process asked, or zero for any.
func (a Ask) To() model.Incarnation { return a.to }

// Version returns the version of the record that the asker knows.
func (a Ask) Version() uint64 { return a.version }

// Want returns the tokens asked for.
func (a Ask) Want() int { return a.want }

// Uses returns the reports on lumps of the process asked.
func (a Ask) Uses() []Use { return slices.Clone(a.usage) }

// NewGrant returns the answer to an ask: the lump id with so many tokens, and
// the level of the pot after it.
func NewGrant(org model.Org, seq uint64, d model.Domain, holder Holder, id uint64, tokens int, level float64) Grant {
	return Grant{org: org, seq: seq, domain: d, holder: holder, id: id, tokens: tokens, level: level}
}

// Org returns the organisation.
func (g Grant) Org() model.Org { return g.org }

// Seq returns the number of the ask.
func (g Grant) Seq() uint64 { return g.seq }

// Domain returns the failure domain of the title.
func (g Grant) Domain() model.Domain { return g.domain }

// By returns the holder.
func (g Grant) By() Holder { return g.holder }

// ID returns the id of the lump.
func (g Grant) ID() uint64 { return g.id }

// Tokens returns the tokens of the lump.
func (g Grant) Tokens() int { return g.tokens }

// Level returns the tokens left in the pot.
func (g Grant) Level() float64 { return g.level }

// NewKnown returns the message that tells a record at a version of the store.
func NewKnown(org model.Org, seq uint64, sender Holder, version uint64, r Record) Known {
	return Known{org: org, seq: seq, sender: sender, version: version, record: r}
}

// Org returns the organisation.
func (u Known) Org() model.Org { return u.org }

// Seq returns the number of the ask, or zero.
func (u Known) Seq() uint64 { return u.seq }

// By returns who tells.
func (u Known) By() Holder { return u.sender }

// Version returns the version of the record, or zero when none is known.
func (u Known) Version() uint64 { return u.version }

// Record returns the record.
func (u Known) Record() Record { return u.record }

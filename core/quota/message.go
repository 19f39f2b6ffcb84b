package quota

import (
	"slices"

	"anvilstand/core/model"
)

// Message is sent between the Managers of two daemons. Messages may be lost,
// delayed, duplicated or reordered.
//
//sumtype:decl
type Message interface{ isMessage() }

// Ask is a request to the holder of a lease: for tokens, or, when none are
// wanted, for an answer that shows that the holder is alive. It also reports the
// usage of the holder's batches. With a seq of zero it only reports.
type Ask struct {
	org      model.Org
	seq      uint64
	from     Holder
	to       model.Incarnation
	version  uint64
	want     int
	onDemand bool
	usage    []Usage
}

// Grant answers an Ask with the batch that the holder's bucket issued. A grant
// of no tokens means that none were wanted or that the bucket is empty.
type Grant struct {
	org    model.Org
	seq    uint64
	domain model.Domain
	holder Holder
	id     uint64
	tokens int
	level  float64
}

// RecordUpdate carries the newest record that the sender knows. It answers an
// Ask to a daemon that doesn't hold the lease, or is sent on its own, with a
// seq of zero, when the leases have changed.
type RecordUpdate struct {
	org     model.Org
	seq     uint64
	sender  Holder
	version uint64
	record  Record
}

func (Ask) isMessage()          {}
func (Grant) isMessage()        {}
func (RecordUpdate) isMessage() {}

// NewAsk returns an ask with the number seq for want tokens. Only the process
// with the incarnation to may grant it, or any process when to is zero. The
// version is that of the newest record that the sender knows; a holder that
// knows a newer one sends it along.
func NewAsk(org model.Org, seq uint64, from Holder, to model.Incarnation, version uint64, want int, usage []Usage) Ask {
	return Ask{org: org, seq: seq, from: from, to: to, version: version, want: want, usage: slices.Clone(usage)}
}

// AsOnDemand returns the ask as one for an on-demand batch, which expires after
// OnDemandTTL.
func (a Ask) AsOnDemand() Ask {
	a.onDemand = true
	return a
}

// OnDemand reports whether an on-demand batch is asked for.
func (a Ask) OnDemand() bool { return a.onDemand }

// Org returns the organisation that the tokens are for.
func (a Ask) Org() model.Org { return a.org }

// Seq returns the number that the answer carries, or zero when the ask only
// reports usage.
func (a Ask) Seq() uint64 { return a.seq }

// From returns the sender.
func (a Ask) From() Holder { return a.from }

// To returns the incarnation of the process asked, or zero for any.
func (a Ask) To() model.Incarnation { return a.to }

// Version returns the version of the newest record that the sender knows, or
// zero when it knows none.
func (a Ask) Version() uint64 { return a.version }

// Want returns the number of tokens asked for.
func (a Ask) Want() int { return a.want }

// Usage returns the usage of batches that the process asked has granted.
func (a Ask) Usage() []Usage { return slices.Clone(a.usage) }

// NewGrant returns the answer to the ask seq: a batch with its id and tokens,
// and the level of the holder's bucket after it.
func NewGrant(org model.Org, seq uint64, d model.Domain, holder Holder, id uint64, tokens int, level float64) Grant {
	return Grant{org: org, seq: seq, domain: d, holder: holder, id: id, tokens: tokens, level: level}
}

// Org returns the organisation that the tokens are for.
func (g Grant) Org() model.Org { return g.org }

// Seq returns the number of the ask.
func (g Grant) Seq() uint64 { return g.seq }

// Domain returns the failure domain of the lease.
func (g Grant) Domain() model.Domain { return g.domain }

// Holder returns the holder that granted the tokens.
func (g Grant) Holder() Holder { return g.holder }

// ID returns the id of the batch, or zero when it has no tokens.
func (g Grant) ID() uint64 { return g.id }

// Tokens returns the tokens of the batch, or zero without one.
func (g Grant) Tokens() int { return g.tokens }

// Level returns the tokens left in the holder's bucket.
func (g Grant) Level() float64 { return g.level }

// NewRecordUpdate returns the message that carries a record and its version in
// the store. The seq is that of the ask it answers, or zero.
func NewRecordUpdate(org model.Org, seq uint64, sender Holder, version uint64, r Record) RecordUpdate {
	return RecordUpdate{org: org, seq: seq, sender: sender, version: version, record: r}
}

// Org returns the organisation of the record.
func (u RecordUpdate) Org() model.Org { return u.org }

// Seq returns the number of the ask, or zero.
func (u RecordUpdate) Seq() uint64 { return u.seq }

// Sender returns the process that sent the record.
func (u RecordUpdate) Sender() Holder { return u.sender }

// Version returns the version of the record, or zero when the sender knows
// none.
func (u RecordUpdate) Version() uint64 { return u.version }

// Record returns the record.
func (u RecordUpdate) Record() Record { return u.record }

package route

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Outlook is what decides whether a target would get a request now.
type Outlook struct {
	member   fleet.Member
	load     float64
	limit    int
	expected time.Duration
	age      time.Duration
	state    TargetState
}

// TargetState is whether a target can get a request.
//
//sumtype:decl
type TargetState interface{ isTargetState() }

// Members of TargetState.
type (
	// Eligible is a target that may be picked.
	Eligible struct{}
	// LevelTooLow is a target whose admission level refuses the request.
	LevelTooLow struct{}
	// Ejected is a target that is ejected as an outlier or as unreachable.
	Ejected struct{}
)

func (Eligible) isTargetState()    {}
func (LevelTooLow) isTargetState() {}
func (Ejected) isTargetState()     {}

// TargetStateName returns the name of a state.
func TargetStateName(s TargetState) string {
	switch s.(type) {
	case Eligible:
		return "eligible"
	case LevelTooLow:
		return "level"
	case Ejected:
		return "ejected"
	}
	return ""
}

// Member returns the target.
func (o Outlook) Member() fleet.Member { return o.member }

// Load returns the load that the choice uses, as a fraction of the limit.
func (o Outlook) Load() float64 { return o.load }

// Limit returns the concurrency limit that was last reported, zero without a report.
func (o Outlook) Limit() int { return o.limit }

// Expected returns the expected time that was last reported, zero if it was not.
func (o Outlook) Expected() time.Duration { return o.expected }

// Age returns the age of the last report, and false without a report.
func (o Outlook) Age() (time.Duration, bool) { return o.age, o.limit > 0 }

// State returns whether the target can get the request.
func (o Outlook) State() TargetState { return o.state }

// Outlooks returns what decides which of the members would get a request now.
func (b *Balancer) Outlooks(now model.Instant, members []fleet.Member, info PickInfo) []Outlook {
	ejected := b.Ejected(now, members)
	list := make([]Outlook, 0, len(members))
	for _, m := range members {
		t := b.targets[m.Name()]
		o := Outlook{member: m, load: t.loadAt(now), state: Eligible{}}
		if t != nil {
			o.limit, o.expected, o.age = t.limit, t.expected, now.Sub(t.reportTime)
		}
		switch {
		case contains(ejected, m.Name()):
			o.state = Ejected{}
		case info.position >= t.level(now, info.pattern):
			o.state = LevelTooLow{}
		}
		list = append(list, o)
	}
	return list
}

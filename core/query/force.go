package query

import (
	"fmt"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// stale is the age from which what was heard of a failure domain no longer
// counts as a confirmation.
const stale = 10 * time.Second

func answerForce(s Source) *Table {
	t := NewTable("domain", "revision", "confirmed", "state")
	here, own := s.Config().Revision(), s.Self().Domain()
	t.Add(string(own), fmt.Sprint(here), "", "in force at "+string(s.Self().Name()))
	for _, d := range s.Domains() {
		known := members(s.Members(), d)
		age, covered, ok := s.Heard(d)
		if d == own {
			age, covered, ok = 0, s.Covered(), s.Watching()
		}
		if !ok {
			t.Add(string(d), "", "", "not known at this daemon, ask a watcher")
			continue
		}
		confirmed := fmt.Sprintf("%d of %d", covered.Daemons(), known)
		t.Add(string(d), fmt.Sprint(covered.Lowest()), confirmed, forceState(here, covered, known, age))
	}
	return t
}

func members(all []fleet.Member, d model.Domain) int {
	n := 0
	for _, m := range all {
		if m.Domain() == d {
			n++
		}
	}
	return n
}

// forceState says what is known of a failure domain and not more.
func forceState(here model.Revision, c peer.Covered, known int, age time.Duration) string {
	heard := fmt.Sprintf("last heard %d s ago", int(age.Seconds()))
	switch {
	case age > stale:
		return "pending, " + heard
	case c.Lowest() < here:
		return "pending, a daemon has " + fmt.Sprint(c.Lowest()) + ", " + heard
	case c.Daemons() < known:
		return fmt.Sprintf("pending, %d daemons have not confirmed, %s", known-c.Daemons(), heard)
	}
	return "in force, " + heard
}

func answerHistory(s Source) *Table {
	t := NewTable("revision", "operator", "time", "op", "change")
	for _, e := range s.Entries() {
		when := time.Unix(e.Unix(), 0).UTC().Format(time.RFC3339)
		t.Add(fmt.Sprint(e.Revision()), e.Operator(), when, string(e.Op()), change.Show(e.Batch()))
	}
	return t
}

package query

import (
	"fmt"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// staleAfter is the age above which the coverage of a failure domain no longer
// confirms that a revision is in force there.
const staleAfter = 10 * time.Second

// answerForce lists the revision in force at this daemon in the first row, and one
// row for each failure domain after it, this daemon's own among them.
func answerForce(s Source) *Table {
	t := NewTable("domain", "revision", "confirmed", "state")
	current, ownDomain := s.Config().Revision(), s.Self().Domain()
	t.Add(string(ownDomain), fmt.Sprint(current), "", "in force at "+string(s.Self().Name()))
	for _, d := range s.Domains() {
		total := countMembers(s.Members(), d)
		age, coverage, ok := s.LastCoverage(d)
		if d == ownDomain {
			age, coverage, ok = 0, s.Coverage(), s.IsWatcher()
		}
		if !ok {
			t.Add(string(d), "", "", "not known at this daemon, ask a watcher")
			continue
		}
		confirmed := fmt.Sprintf("%d of %d", coverage.Daemons(), total)
		t.Add(string(d), fmt.Sprint(coverage.MinRevision()), confirmed, forceState(current, coverage, total, age))
	}
	return t
}

func countMembers(all []fleet.Member, d model.Domain) int {
	n := 0
	for _, m := range all {
		if m.Domain() == d {
			n++
		}
	}
	return n
}

// forceState returns whether the revision current is in force in a failure domain
// of total daemons, as far as coverage of the given age shows. It is pending
// unless the coverage confirms it.
func forceState(current model.Revision, c peer.Coverage, total int, age time.Duration) string {
	heard := fmt.Sprintf("last heard %d s ago", int(age.Seconds()))
	switch {
	case age > staleAfter:
		return "pending, " + heard
	case c.MinRevision() < current:
		return "pending, a daemon has " + fmt.Sprint(c.MinRevision()) + ", " + heard
	case c.Daemons() < total:
		return fmt.Sprintf("pending, %d daemons have not confirmed, %s", total-c.Daemons(), heard)
	}
	return "in force, " + heard
}

func answerHistory(s Source) *Table {
	t := NewTable("revision", "operator", "time", "op", "change")
	for _, e := range s.Entries() {
		timestamp := time.Unix(e.Unix(), 0).UTC().Format(time.RFC3339)
		t.Add(fmt.Sprint(e.Revision()), e.Operator(), timestamp, string(e.Op()), change.Summarize(e.Batch()))
	}
	return t
}

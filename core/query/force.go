package query

import (
	"fmt"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/model"
)

// stale is the age from which what was heard of a failure domain is reported
// with a warning.
const stale = 5 * time.Second

func answerForce(s Source) *Table {
	t := NewTable("domain", "revision", "state")
	here := s.Config().Revision()
	t.Add(string(s.Self().Domain()), fmt.Sprint(here), "in force at "+string(s.Self().Name()))
	for _, d := range s.Domains() {
		if d == s.Self().Domain() {
			continue
		}
		age, rev, ok := s.Heard(d)
		if !ok {
			t.Add(string(d), "", "not known, never heard here")
			continue
		}
		t.Add(string(d), fmt.Sprint(rev), forceState(here, rev, age))
	}
	return t
}

// forceState says what is known of another failure domain and not more: one of
// its daemons had the revision when it was last heard.
func forceState(here, there model.Revision, age time.Duration) string {
	heard := fmt.Sprintf("last heard %d s ago", int(age.Seconds()))
	switch {
	case there < here:
		return "pending, " + heard
	case age > stale:
		return "in force at its watcher, silent since, " + heard
	}
	return "in force at its watcher, " + heard
}

func answerHistory(s Source) *Table {
	t := NewTable("revision", "operator", "time", "op", "change")
	for _, e := range s.Entries() {
		when := time.Unix(e.Unix(), 0).UTC().Format(time.RFC3339)
		t.Add(fmt.Sprint(e.Revision()), e.Operator(), when, string(e.Op()), change.Show(e.Batch()))
	}
	return t
}

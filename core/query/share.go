package query

import (
	"fmt"
	"strconv"

	"anvilstand/core/share"
)

// answerShares lists the quota leases that this daemon knows. For those that it
// holds itself it adds the tokens in the bucket and the outstanding tokens.
func answerShares(s Source) *Table {
	t := NewTable("org", "domain", "holder", "part", "rate", "burst", "level", "out", "state")
	for _, o := range s.Shares() {
		if len(o.Titles()) == 0 {
			t.Add(string(o.Org()), "", "", "", "", "", "", "", emptyState(o))
		}
		for _, title := range o.Titles() {
			t.Add(titleRow(s, o, title)...)
		}
	}
	return t
}

// emptyState returns the state of an organisation without quota leases: none, or
// unknown while this daemon has not read them.
func emptyState(o share.State) string {
	if o.Known() {
		return "none"
	}
	return "unknown"
}

// titleRow returns one row. The rate and burst are the lease's part of the
// organisation's.
func titleRow(s Source, o share.State, t share.Title) []string {
	part := float64(t.Weight()) / share.Whole
	row := []string{
		string(o.Org()), string(t.Domain()), string(t.Holder().Name()),
		strconv.FormatFloat(part, 'f', 3, 64),
	}
	org, _ := s.Config().Org(o.Org())
	row = append(row, formatNumber(org.Rate()*part), formatNumber(org.Burst()*part))
	if !o.Held() || t.Domain() != o.Domain() {
		return append(row, "", "", titleState(t))
	}
	state := "here"
	if o.Pending() {
		state = "pending"
	}
	return append(row, formatNumber(o.Level()), formatNumber(o.Outstanding()), state)
}

func titleState(t share.Title) string {
	switch {
	case t.Holder().Process() == 0:
		return "vacant"
	case t.Notice():
		return "doubted"
	}
	return "held"
}

func formatNumber(f float64) string { return fmt.Sprintf("%.1f", f) }

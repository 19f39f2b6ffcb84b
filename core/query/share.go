package query

import (
	"fmt"
	"strconv"

	"anvilstand/core/share"
)

// answerShares lists the titles as this daemon knows them, and what is left of
// those that it holds.
func answerShares(s Source) *Table {
	t := NewTable("org", "domain", "holder", "part", "rate", "burst", "level", "out", "state")
	for _, o := range s.Shares() {
		if len(o.Titles()) == 0 {
			t.Add(string(o.Org()), "", "", "", "", "", "", "", unknownState(o))
		}
		for _, title := range o.Titles() {
			t.Add(titleRow(s, o, title)...)
		}
	}
	return t
}

func unknownState(o share.State) string {
	if o.Known() {
		return "none"
	}
	return "unknown"
}

func titleRow(s Source, o share.State, t share.Title) []string {
	part := float64(t.Weight()) / share.Whole
	row := []string{
		string(o.Org()), string(t.Domain()), string(t.Holder().Name()),
		strconv.FormatFloat(part, 'f', 3, 64),
	}
	org, _ := s.Config().Org(o.Org())
	row = append(row, number(org.Rate()*part), number(org.Burst()*part))
	if !o.Held() || t.Domain() != o.Domain() {
		return append(row, "", "", titleState(t))
	}
	state := "here"
	if o.Pending() {
		state = "pending"
	}
	return append(row, number(o.Level()), number(o.Outstanding()), state)
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

func number(f float64) string { return fmt.Sprintf("%.1f", f) }

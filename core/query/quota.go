package query

import (
	"fmt"
	"strconv"

	"anvilstand/core/quota"
)

// answerShares lists the quota leases that this daemon knows. For those that it
// holds itself it adds the tokens in the bucket and the outstanding tokens.
func answerShares(s Source) *Table {
	t := NewTable("org", "domain", "holder", "part", "rate", "burst", "level", "out", "state")
	for _, state := range s.Quotas() {
		if len(state.Leases()) == 0 {
			t.Add(string(state.Org()), "", "", "", "", "", "", "", emptyState(state))
		}
		for _, lease := range state.Leases() {
			t.Add(leaseRow(s, state, lease)...)
		}
	}
	return t
}

// emptyState returns the state of an organisation without quota leases: none, or
// unknown while this daemon has not read them.
func emptyState(state quota.State) string {
	if state.Known() {
		return "none"
	}
	return "unknown"
}

// leaseRow returns the row of a lease. Its rate and burst are the lease's fraction
// of the organisation's.
func leaseRow(s Source, orgState quota.State, lease quota.Lease) []string {
	fraction := float64(lease.Weight()) / quota.FullWeight
	row := []string{
		string(orgState.Org()), string(lease.Domain()), string(lease.Holder().Name()),
		strconv.FormatFloat(fraction, 'f', 3, 64),
	}
	org, _ := s.Config().Org(orgState.Org())
	row = append(row, formatNumber(org.Rate()*fraction), formatNumber(org.Burst()*fraction))
	isOwn := lease.Domain() == orgState.Domain()
	if isOwn && orgState.Lapsed() {
		return append(row, "", "", "lapsed")
	}
	if !orgState.Held() || !isOwn {
		return append(row, "", "", leaseState(lease))
	}
	state := "here"
	if orgState.Pending() {
		state = "pending"
	}
	return append(row, formatNumber(orgState.Level()), formatNumber(orgState.Outstanding()), state)
}

func leaseState(lease quota.Lease) string {
	switch {
	case lease.Holder().Incarnation() == 0:
		return "vacant"
	case lease.Challenged():
		return "doubted"
	}
	return "held"
}

func formatNumber(f float64) string { return fmt.Sprintf("%.1f", f) }

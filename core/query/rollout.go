package query

import (
	"strconv"
	"time"

	"anvilstand/core/canary"
)

// answerRollouts lists the orders of rollouts with their states, and the answers of both
// versions that this daemon knows of. A watcher knows those of the whole fleet.
func answerRollouts(s Source) *Table {
	t := NewTable("service", "version", "state", "stored", "after", "limit", "share", "answers", "failed", "slow", "old", "oldfailed", "oldslow", "reason")
	for _, r := range s.Rollouts() {
		t.Add(append(append([]string{
			string(r.Order().Service()), r.Order().Version(), canary.StateName(r.State()), canary.StateName(r.Stored()),
			r.Elapsed().Truncate(time.Millisecond).String(), r.Order().Duration().String(), strconv.FormatFloat(r.Share(), 'f', 2, 64),
		}, append(tallyCells(r.New()), tallyCells(r.Old())...)...), r.Reason())...)
	}
	return t
}

func tallyCells(t canary.Tally) []string {
	return []string{formatCount(t.Answers()), formatCount(t.Failed()), formatCount(t.Slow())}
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

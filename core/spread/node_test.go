package spread

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

func member(name model.Instance, born model.Incarnation) fleet.Member {
	return fleet.NewMember(name, "north", "s", "10.0.0.1:"+string(name)).WithIncarnation(born)
}

func at(d time.Duration) model.Instant { return model.Instant(d) }

// TestRaise proves the end of a member wrongly. It serves again once it has
// been recorded anew.
func TestRaise(t *testing.T) {
	var out peer.Outbox
	n := New(member("a", 1), nil, nil)
	b := member("b", 2)
	n.See(0, fleet.NewRoll("north", 1, []fleet.Member{member("a", 1), b}), &out)
	n.Prove(at(time.Second), b.Address(), 2, &out)
	if diff := cmp.Diff(1, len(n.Roster().Living())); diff != "" {
		t.Fatal(diff)
	}
	n.See(at(2*time.Second), fleet.NewRoll("north", 2, []fleet.Member{member("a", 1)}), &out)
	n.See(at(3*time.Second), fleet.NewRoll("north", 3, []fleet.Member{member("a", 1), b}), &out)
	if diff := cmp.Diff(2, len(n.Roster().Living())); diff != "" {
		t.Error(diff)
	}
}

// TestEvidence tells which proofs concern the member that is recorded.
func TestEvidence(t *testing.T) {
	b := member("b", 2)
	cases := map[string]struct {
		address string
		process model.Incarnation
		living  int
	}{
		"the recorded process":          {address: b.Address(), process: 2, living: 1},
		"an earlier process":            {address: b.Address(), process: 9, living: 2},
		"another address":               {address: "10.0.0.9:1", process: 2, living: 2},
		"a process that is not known":   {address: b.Address(), process: 0, living: 2},
		"the same address, other owner": {address: member("a", 1).Address(), process: 2, living: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out peer.Outbox
			n := New(member("a", 1), nil, nil)
			n.See(0, fleet.NewRoll("north", 1, []fleet.Member{member("a", 1), b}), &out)
			n.Prove(at(time.Second), tc.address, tc.process, &out)
			if diff := cmp.Diff(tc.living, len(n.Roster().Living())); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNoWatcherBeforeTheRecord checks that a daemon that starts takes no role
// before it has seen who else there is.
func TestNoWatcherBeforeTheRecord(t *testing.T) {
	var out peer.Outbox
	n := New(member("a", 1), nil, nil)
	if _, ok := n.Rank(0); ok {
		t.Error("a watcher before the record was seen")
	}
	n.See(0, fleet.NewRoll("north", 0, nil), &out)
	if _, ok := n.Rank(0); !ok {
		t.Error("no watcher of an empty domain")
	}
}

package share

import (
	"testing"
	"time"
)

var ways = map[string]way{"titles": escrow, "rate/N": evenly, "one bucket": single}

// TestAgainstBaselines runs the same faults and traffic with the product's way,
// with rate/N, and with one bucket an organisation at the first daemon.
func TestAgainstBaselines(t *testing.T) {
	minute := 60 * time.Second
	cases := map[string]fault{
		"even, 13 daemons":          {begin: all()},
		"skewed, 13 daemons":        {skewed: true, begin: all()},
		"skewed, 16 daemons":        {daemons: 16, skewed: true, begin: all()},
		"one in four restarts":      {begin: crashes(10*time.Second, 5*time.Second)},
		"a domain cut off for 30 s": {begin: cutOff("d1", 10*time.Second, 40*time.Second, true, true)},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			part := map[way]float64{}
			for title, w := range ways {
				f.lasts, f.way = minute, w
				s := f.run(t, 11)
				refused, worst := s.inRate()
				waits, _, n := s.waits()
				part[w] = refused
				t.Logf("%-10s refused in rate %.5f, worst organisation %.5f, waited %.5f", title, refused, worst, float64(waits)/float64(n))
			}
			if part[escrow] > part[evenly] {
				t.Errorf("refused in rate: %.5f, and %.5f with rate/N", part[escrow], part[evenly])
			}
		})
	}
}

// TestSizes counts what a daemon keeps and sends, at several sizes of the fleet.
func TestSizes(t *testing.T) {
	const lasts = 6 * time.Second
	for name, daemons := range map[string]int{"12": 12, "40": 40, "160": 160, "300": 300} {
		t.Run(name, func(t *testing.T) {
			s := newSim(3, 3, daemons)
			list := eight(nil)
			for _, l := range list {
				// Each daemon brings its part of the rate.
				l.rate, l.burst, l.sends = l.rate*float64(daemons)/12, l.burst*float64(daemons)/12, l.sends*float64(daemons)/12
			}
			s.orgs(1, list)
			s.run(first)
			s.traffic(first, first+lasts)
			messages, reads, writes := s.messages, s.store.reads, s.store.writes
			s.run(first + lasts)
			refused, _ := s.inRate()
			perDaemon := float64(s.messages-messages) / lasts.Seconds() / float64(daemons)
			t.Logf("%d daemons: %.1f messages/s a daemon, %.2f an organisation; start %d reads %d writes, then %d reads %d writes; in rate refused %.5f",
				daemons, perDaemon, perDaemon/8, reads, writes, s.store.reads-reads, s.store.writes-writes, refused)
			lumps, most := 0, 0
			for _, n := range s.nodes {
				sum := 0
				for _, a := range n.desk.accounts {
					if a.mine != nil {
						sum += a.mine.pot.Lumps()
					}
				}
				lumps, most = lumps+sum, max(most, sum)
			}
			t.Logf("lumps: %.1f a daemon, most at one holder %d", float64(lumps)/float64(daemons), most)
			// In the first seconds each daemon learns what it has to keep ready.
			const settled = 5
			_, _, n := s.waits()
			if late := s.refusedBetween(settled, 100); float64(late) > connectedBound*float64(n) {
				t.Errorf("%d of %d requests in rate refused after second %d", late, n, settled)
			}
		})
	}
}

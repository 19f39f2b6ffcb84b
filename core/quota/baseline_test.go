package quota

import (
	"testing"
	"time"
)

var schemes = map[string]scheme{"leases": leased, "rate/N": evenSplit, "one bucket": central}

// TestAgainstBaselines runs the same faults and traffic with quota leases, with
// an equal part of the rate at each of N daemons, and with one bucket per
// organisation at the first daemon.
func TestAgainstBaselines(t *testing.T) {
	minute := 60 * time.Second
	cases := map[string]faultCase{
		"even, 13 daemons":          {inject: combine()},
		"skewed, 13 daemons":        {skewed: true, inject: combine()},
		"skewed, 16 daemons":        {daemons: 16, skewed: true, inject: combine()},
		"one in four restarts":      {inject: crashFourth(10*time.Second, 5*time.Second)},
		"a domain cut off for 30 s": {inject: partition("d1", 10*time.Second, 40*time.Second, true, true)},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refusedBy := map[scheme]float64{}
			for schemeName, sch := range schemes {
				f.duration, f.scheme = minute, sch
				s := f.run(t, 11)
				refused, worst := s.refusedInRate()
				waits, _, n := s.waits()
				refusedBy[sch] = refused
				t.Logf("%-10s refused in rate %.5f, worst organisation %.5f, waited %.5f", schemeName, refused, worst, float64(waits)/float64(n))
			}
			if refusedBy[leased] > refusedBy[evenSplit] {
				t.Errorf("refused in rate: %.5f, and %.5f with rate/N", refusedBy[leased], refusedBy[evenSplit])
			}
		})
	}
}

// TestSizes measures the messages, store calls and outstanding batches of a
// daemon at several fleet sizes.
func TestSizes(t *testing.T) {
	const duration = 6 * time.Second
	for name, daemons := range map[string]int{"12": 12, "40": 40, "160": 160, "300": 300} {
		t.Run(name, func(t *testing.T) {
			s := newSim(3, 3, daemons)
			list := profileOrgs(nil)
			for _, l := range list {
				// Rates and traffic grow with the number of daemons.
				l.rate, l.burst, l.sendRate = l.rate*float64(daemons)/12, l.burst*float64(daemons)/12, l.sendRate*float64(daemons)/12
			}
			s.orgs(1, list)
			s.run(trafficStart)
			s.startTraffic(trafficStart, trafficStart+duration)
			messages, reads, writes := s.messages, s.store.reads, s.store.writes
			s.run(trafficStart + duration)
			refused, _ := s.refusedInRate()
			perDaemon := float64(s.messages-messages) / duration.Seconds() / float64(daemons)
			t.Logf("%d daemons: %.1f messages/s a daemon, %.2f an organisation; start %d reads %d writes, then %d reads %d writes; in rate refused %.5f",
				daemons, perDaemon, perDaemon/8, reads, writes, s.store.reads-reads, s.store.writes-writes, refused)
			batches, maxPerHolder := 0, 0
			for _, n := range s.nodes {
				sum := 0
				for _, q := range n.manager.quotas {
					if q.held != nil {
						sum += q.held.bucket.Batches()
					}
				}
				batches, maxPerHolder = batches+sum, max(maxPerHolder, sum)
			}
			t.Logf("outstanding batches: %.1f a daemon, most at one holder %d", float64(batches)/float64(daemons), maxPerHolder)
			// In the first seconds each daemon estimates its demand.
			const settled = 5
			_, _, n := s.waits()
			if late := s.refusedBetween(settled, 100); float64(late) > connectedBound*float64(n) {
				t.Errorf("%d of %d requests in rate refused after second %d", late, n, settled)
			}
		})
	}
}

package cells

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/proof/audit"
)

// TestDomainServesOthersAfterCut guards against domains that stay apart after a cut has healed.
func TestDomainServesOthersAfterCut(t *testing.T) {
	cases := map[string]func(f *fleet, inside func(ip string) bool, on bool){
		"silent":   func(f *fleet, inside func(ip string) bool, on bool) { f.net.Partition(inside, false, on) },
		"refusing": func(f *fleet, inside func(ip string) bool, on bool) { f.net.Refuse(inside, on) },
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				if err := f.start(); err != nil {
					t.Fatal(err)
				}
				defer f.close()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f.sendCommand(ctx, 0, opSetup, setupCommands())
				f.sleepUntil(trafficStart)
				var g errgroup.Group
				g.Go(func() error {
					f.sendTraffic(ctx, 1)
					return nil
				})
				f.sleepUntil(faultStart)
				inEast := func(ip string) bool { return ip[3] == '2' }
				cut(f, inEast, true)
				time.Sleep(faultDuration)
				cut(f, inEast, false)
				time.Sleep(recoveryWindow)
				f.sendCommand(ctx, 0, "only-east", "out target stock-north-0; out target stock-south-0")
				time.Sleep(audit.InForceWithin)
				for domain := range domains {
					if served := f.countServed(domain); served < servedOf*9/10 {
						t.Errorf("%d of %d requests of %s served by the targets of east", served, servedOf, domains[domain])
					}
				}
				cancel()
				_ = g.Wait()
			})
		})
	}
}

// servedOf is the number of requests that countServed sends.
const servedOf = 40

// countServed sends requests for stock from a domain, and returns how many are served.
func (f *fleet) countServed(domain int) int {
	served := 0
	for i := range servedOf {
		req := request{id: fmt.Sprintf("last-%d-%d", domain, i), org: "acme", key: "first-key-of-acme", kind: 2, entry: i % f.daemonsPerDomain}
		if _, ok := f.sendOnce(domain, req).(audit.Complete); ok {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return served
}

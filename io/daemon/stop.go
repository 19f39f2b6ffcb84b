package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/wire"
)

// Limits of a planned stop.
const (
	// lingerTime is how long the process stays up after its last response, at
	// most DrainDelay: exiting earlier could reset a connection whose caller has
	// not read the response yet. The listeners ignore new connections for the
	// same time before they close.
	lingerTime = time.Second
	// memberListTimeout limits the wait for the member list alone.
	memberListTimeout = time.Second
	// graceTenths is how much of StopTimeout (setting grace) a planned stop may
	// take, in tenths. The rest is left for the process to exit.
	graceTenths = 9
	// maxAnswerTime is the longest answerTime.
	maxAnswerTime = 200 * time.Millisecond
	// leaveTimeout limits the wait for the member list and for the release of
	// the quota leases together.
	leaveTimeout = 2 * time.Second
)

// shutdown makes a planned stop, all steps but the last within graceTenths of StopTimeout:
//  1. Callers and other daemons learn that this daemon leaves.
//  2. New requests are accepted until the member list shows that it leaves, its
//     quota leases are released, and DrainDelay is over.
//  3. The listeners ignore new connections for ignoreTime.
//  4. The front refuses new requests, and those in progress finish. Near the end it
//     refuses those that still wait for a target.
//  5. Requests that have not ended by then get the answer that they may have run, within
//     another answerTime.
//  6. After up to lingerTime the remaining connections are closed.
//
// The field cut of the log line tells that requests or connections were still
// open when the time ran out.
func (d *Daemon) shutdown(servers []*http.Server, endRequests context.CancelCauseFunc) {
	d.log.Info("leaving")
	d.front.StartDrain()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout()*graceTenths/10)
	defer cancel()
	drainDelayEnd := time.Now().Add(d.settings.DrainDelay())
	_ = d.loop.Do(ctx, ctrl.Leave{})
	d.awaitLeave(ctx)
	_ = clock.Sleep(ctx, time.Until(drainDelayEnd))
	for _, ln := range d.rawListeners {
		_ = wire.IgnoreNewConnections(ln)
	}
	_ = clock.Sleep(ctx, ignoreTime(d.settings.StopTimeout(), d.settings.DrainDelay()))
	closeErr := d.front.Shutdown(ctx, endRequests, answerTime(d.settings.StopTimeout()))
	closeErr = errors.Join(closeErr, d.closeServers(ctx, servers))
	// Connections that were accepted while their listener closed are still served.
	_ = clock.Sleep(ctx, min(lingerTime, d.settings.DrainDelay()))
	for _, s := range servers {
		_ = s.Close()
	}
	d.front.CloseIdleConnections()
	d.log.Info("left", "cut", closeErr != nil)
}

// closeServers closes the connections as their responses end. It returns an error if some
// have not ended answerTime after the deadline of ctx.
func (d *Daemon) closeServers(ctx context.Context, servers []*http.Server) error {
	end, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), end.Add(answerTime(d.settings.StopTimeout())))
	defer cancel()
	var err error
	for _, s := range servers {
		err = errors.Join(err, s.Shutdown(ctx))
	}
	return err
}

// answerTime returns how much longer than graceTenths a planned stop takes to answer
// the requests that it ends.
func answerTime(stopTimeout time.Duration) time.Duration { return min(maxAnswerTime, stopTimeout/20) }

// ignoreTime returns how long a planned stop goes on accepting requests on open
// connections after its listeners ignore new ones: up to lingerTime, but no longer than
// until half of its time is over. A request that is accepted later may have too little
// time to end.
func ignoreTime(stopTimeout, drainDelay time.Duration) time.Duration {
	return min(lingerTime, drainDelay, max(0, stopTimeout/2-drainDelay))
}

// awaitLeave waits until the member list shows that this daemon leaves and its
// quota leases are released. Both share the limit leaveTimeout, so that the
// requests accepted last have time to finish within StopTimeout.
func (d *Daemon) awaitLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.awaitMemberList(ctx)
	d.awaitLeases(ctx)
}

// awaitMemberList waits until the member list shows that this daemon leaves. It
// returns at once when no other daemon stays in the failure domain that could
// write the list.
func (d *Daemon) awaitMemberList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	_ = d.loop.Await(ctx, func(v *ctrl.View) bool {
		others := false
		for _, m := range v.Members() {
			if m == v.Self() {
				return true
			}
			others = others || (m.Domain() == v.Self().Domain() && m.Name() != v.Self().Name() && !m.Leaving())
		}
		return !others
	})
}

// awaitLeases waits until this daemon has released its quota leases, so that
// other daemons can take them over at once instead of after they expire.
func (d *Daemon) awaitLeases(ctx context.Context) {
	_ = d.loop.Await(ctx, func(v *ctrl.View) bool { return v.LeaseCount() == 0 })
}

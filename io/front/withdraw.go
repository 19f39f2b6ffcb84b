package front

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/form"
)

// Limits of the withdrawal of requests at the end of a planned stop.
const (
	// withdrawTime is how long before the end the requests that still wait for a
	// target are refused.
	withdrawTime = 500 * time.Millisecond
	// withdrawInterval is the time between two withdrawals: a request may reach a
	// peer's queue after the first one.
	withdrawInterval = 100 * time.Millisecond
	// withdrawTimeout limits one withdrawal at one peer.
	withdrawTimeout = 200 * time.Millisecond
	// maxWithdrawalBytes is the largest withdrawal that is read, in bytes.
	maxWithdrawalBytes = 1 << 20
)

// relayedRequests holds the requests that wait for the response of a peer: for each
// peer's address how often each id was relayed. The zero value is empty.
type relayedRequests struct {
	mu     sync.Mutex
	byPeer map[string]map[model.Request]int
}

func (r *relayedRequests) begin(address string, id model.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPeer == nil {
		r.byPeer = map[string]map[model.Request]int{}
	}
	if r.byPeer[address] == nil {
		r.byPeer[address] = map[model.Request]int{}
	}
	r.byPeer[address][id]++
}

func (r *relayedRequests) end(address string, id model.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := r.byPeer[address]
	if ids[id]--; ids[id] > 0 {
		return
	}
	delete(ids, id)
	if len(ids) == 0 {
		delete(r.byPeer, address)
	}
}

// ids returns the ids of the requests by the address of the peer.
func (r *relayedRequests) ids() map[string][]model.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]model.Request, len(r.byPeer))
	for address, ids := range r.byPeer {
		all[address] = slices.Collect(maps.Keys(ids))
	}
	return all
}

// withdrawWaiting refuses the requests that wait for a target, here and at peers, until
// ended is closed or ctx ends. None is retried. Those that a target runs go on.
func (f *Front) withdrawWaiting(ctx context.Context, ended <-chan struct{}) {
	close(f.waitsEnd)
	ticker := time.NewTicker(withdrawInterval)
	defer ticker.Stop()
	for {
		f.admission.withdrawAll()
		f.withdrawRelayed(ctx)
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waitsEnded reports whether the requests that wait for a target are being withdrawn.
func (f *Front) waitsEnded() bool {
	select {
	case <-f.waitsEnd:
		return true
	default:
		return false
	}
}

// withdrawRelayed asks each peer to refuse those relayed requests that wait in its
// queue. Their responses arrive as those of other refused requests.
func (f *Front) withdrawRelayed(ctx context.Context) {
	var g errgroup.Group
	for address, ids := range f.relayed.ids() {
		g.Go(func() error {
			if err := f.sendWithdrawal(ctx, address, ids); err != nil {
				f.traces.log.Warn("requests not withdrawn", "peer", address, "requests", len(ids), "error", err)
			}
			return nil
		})
	}
	_ = g.Wait() // failures are logged, and tried again
}

// withdrawLeft has a peer refuse a relayed request whose caller has left while it waits
// there. The peer has not asked for its body yet, so that it does not notice that the
// connection is closed. Calls share their id with others of their chain, which go on.
func (f *Front) withdrawLeft(ctx context.Context, j *job, p *payload, address string) {
	_, left := failureReason(ctx, true).(model.Canceled)
	if p.stream == nil || !left || !j.isRoot() {
		return
	}
	// The peer's own deadline is the remedy if it cannot be reached.
	_ = f.sendWithdrawal(context.WithoutCancel(ctx), address, []model.Request{j.call.ID()})
}

func (f *Front) sendWithdrawal(ctx context.Context, address string, ids []model.Request) error {
	data, err := codec.EncodeWithdrawal(ids)
	if err != nil {
		return errors.Wrap(err, "encode withdrawal")
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	r := (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/withdraw"},
		Header:        http.Header{"Authorization": {f.peerAuthorization}},
		Body:          &requestBody{src: bytes.NewReader(data)},
		ContentLength: int64(len(data)),
	}).WithContext(ctx)
	resp, err := f.freshPeerTransport.RoundTrip(r)
	if err != nil {
		return errors.Wrapf(err, "withdraw at %s", address)
	}
	defer resp.Body.Close()
	if refusal, ok := readRefusal(resp); ok {
		return refusal
	}
	return nil
}

// WithdrawHandler returns the handler for withdrawals by other daemons.
func (f *Front) WithdrawHandler() http.Handler { return http.HandlerFunc(f.serveWithdrawal) }

// serveWithdrawal refuses the requests that a stopping daemon has relayed here and that
// still wait for admission. The requests of one chain share an id and are withdrawn
// together.
func (f *Front) serveWithdrawal(w http.ResponseWriter, r *http.Request) {
	if !f.isPeer(r) {
		form.WriteRefusal(w, unknownPeer(), nil)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWithdrawalBytes))
	if err != nil {
		form.WriteRefusal(w, model.Refuse(model.BadRequest{}, 0), nil)
		return
	}
	ids, err := codec.DecodeWithdrawal(data)
	if err != nil {
		form.WriteRefusal(w, model.Refuse(model.BadRequest{}, 0), nil)
		return
	}
	f.admission.withdraw(ids)
}

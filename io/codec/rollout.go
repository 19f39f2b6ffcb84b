package codec

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"anvilstand/core/canary"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// kindRollout is the kind of a report on a rollout. Daemons of earlier builds close a
// link on which one comes.
const kindRollout kind = 70

// Numbers of the scopes of a report.
const (
	scopeSubtree = iota
	scopeBranch
	scopeDomain
	scopeFleet
)

// maxRolloutRows bounds the routes in a report, maxRouteBytes the name of one.
const (
	maxRolloutRows = 64
	maxRouteBytes  = 4096
)

// encodeRollout encodes a report. A row is [route, old, new], with six counts each.
func encodeRollout(r canary.Report) ([]byte, error) {
	rows := make([]cbor.RawMessage, 0, len(r.Counts()))
	for _, row := range r.Counts() {
		data, err := pack(row.Route(), tallyNumbers(row.Old()), tallyNumbers(row.New()))
		if err != nil {
			return nil, err
		}
		rows = append(rows, data)
	}
	return packMessage(kindRollout, r.Order().Service(), r.Order().Version(), r.Order().Duration().Milliseconds(),
		scopeNumber(r.Scope()), canary.StateName(r.State()), r.Stored(), r.Elapsed().Milliseconds(), rows, r.Gates())
}

func tallyNumbers(t canary.Tally) [6]uint64 {
	return [6]uint64{t.Answers(), t.Failed(), t.Timed(), t.Logs(), t.Squares(), t.Slow()}
}

func scopeNumber(s canary.Scope) int {
	switch s.(type) {
	case canary.Subtree:
		return scopeSubtree
	case canary.Branch:
		return scopeBranch
	case canary.Domain:
		return scopeDomain
	case canary.Fleet:
		return scopeFleet
	}
	return scopeSubtree
}

func scopeOf(n int) (canary.Scope, bool) {
	switch n {
	case scopeSubtree:
		return canary.Subtree{}, true
	case scopeBranch:
		return canary.Branch{}, true
	case scopeDomain:
		return canary.Domain{}, true
	case scopeFleet:
		return canary.Fleet{}, true
	}
	return nil, false
}

func decodeRollout(body []byte) (peer.Message, error) {
	var (
		service           model.Service
		version, state    string
		duration, elapsed int64
		scope             int
		stored            bool
		rows              []cbor.RawMessage
		gates             uint64
	)
	if err := unpack(body, &service, &version, &duration, &scope, &state, &stored, &elapsed, &rows, &gates); err != nil {
		return nil, err
	}
	decodedScope, okScope := scopeOf(scope)
	decodedState, okState := canary.ParseState(state)
	if !okScope || !okState || !model.IsPortable(string(service)) || len(version) > maxVersionBytes || len(rows) > maxRolloutRows {
		return nil, errors.Wrap(ErrMalformed, "report on a rollout")
	}
	counts, err := decodeCounts(rows)
	if err != nil {
		return nil, err
	}
	order := canary.NewOrder(service, version, time.Duration(max(0, min(duration, maxAge.Milliseconds())))*time.Millisecond)
	r := canary.NewReport(order, decodedScope, decodedState, milliseconds(elapsed)).WithCounts(counts, gates)
	if stored {
		r = r.AsStored()
	}
	return peer.NewRollout(r), nil
}

func decodeCounts(rows []cbor.RawMessage) (canary.Counts, error) {
	decoded := make([]canary.Row, 0, len(rows))
	for _, row := range rows {
		var (
			route      canary.Route
			olds, news [6]uint64
		)
		if err := unpack(row, &route, &olds, &news); err != nil {
			return nil, err
		}
		if len(route) > maxRouteBytes {
			return nil, errors.Wrap(ErrMalformed, "route of a rollout is too long")
		}
		decoded = append(decoded, canary.NewRow(route, tallyOf(olds), tallyOf(news)))
	}
	return canary.NewCounts(decoded), nil
}

func tallyOf(n [6]uint64) canary.Tally {
	const most = 1 << 48 // sums of all daemons don't overflow
	for i := range n {
		n[i] = min(n[i], most)
	}
	return canary.NewTally(n[0], n[1]).WithTimes(n[2], n[3], n[4], n[5])
}

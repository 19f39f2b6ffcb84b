// Package crash finds poison requests (queries of death): requests that crash the
// targets that run them. Requests in flight when a connection to a target broke are
// suspects, unless the target has answered the same request before. When one suspect is in
// flight at more crashes than the others, it is poison and is refused for a time. Suspects
// run one at a time at each target if they are few, or if they were in flight at two
// crashes. With many requests in flight, some that are sent again are in flight at two
// crashes of other reasons, so that it takes a third.
//
// The package decides who is a suspect or poison from reports of crashes. It sends
// no reports to other daemons; their message is in package peer.
package crash

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/model"
)

// FingerprintOf returns the fingerprint of a request, a hash by which repetitions of
// it are recognised. Size is the length of its body in bytes; it tells bodies apart
// that are not buffered.
func FingerprintOf(org model.Org, method, path string, body []byte, size int64) model.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(org), method, path, strconv.FormatInt(size, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return model.Fingerprint(h.Sum64())
}

// Report is the report of the presumed crash of a target: a broken connection, with the
// fingerprints of the requests in flight at the target.
type Report struct {
	target       model.Instance
	number       uint64
	fingerprints []model.Fingerprint
}

// NewReport returns a report of a crash. The number is unique among the crashes of
// the target.
func NewReport(target model.Instance, number uint64, fingerprints []model.Fingerprint) Report {
	return Report{target: target, number: number, fingerprints: fingerprints}
}

// Target returns the instance that crashed.
func (r Report) Target() model.Instance { return r.target }

// Number identifies the crash among those of the target.
func (r Report) Number() uint64 { return r.number }

// Fingerprints returns the fingerprints of the requests in flight at the crash.
func (r Report) Fingerprints() []model.Fingerprint { return r.fingerprints }

// State is whether a request is suspected of crashing targets.
//
//sumtype:decl
type State interface{ isState() }

// States of a request.
type (
	// Clear is a request that is neither a suspect nor poison.
	Clear struct{}
	// Suspect is a request that was in flight when a target crashed.
	Suspect struct{}
	// Poison is a request that crashed targets and is refused.
	Poison struct{}
)

func (Clear) isState()   {}
func (Suspect) isState() {}
func (Poison) isState()  {}

// Tracker holds the suspects and poison requests of a service. The zero value is
// empty. It is not safe for concurrent use; readers get a Clone.
type Tracker struct {
	suspects map[model.Fingerprint]suspicion
	poison   map[model.Fingerprint]model.Instant // end of the time in which it is refused
}

// suspicion is the crash that made a request a suspect.
type suspicion struct {
	target  model.Instance
	number  uint64
	expires model.Instant
	// restricted suspects run one at a time.
	restricted bool
	// crashes is how many crashes it was in flight at.
	crashes int
}

// InFlight tracks the requests in flight at one target, by an id of the caller's.
// The zero value has none. It is not safe for concurrent use.
type InFlight struct {
	running map[uint64]entry
	crashed map[uint64]bool // ids in flight at the last crash
	served  servedSet
}

// entry is a request in flight.
type entry struct {
	fingerprint model.Fingerprint
	suspect     bool
}

// Bounds and times of suspicion.
const (
	// MaxSuspects is the largest number of suspects of a first crash that run one at a
	// time.
	MaxSuspects = 64
	// minCrashes is the number of crashes that make a request poison if many others were
	// in flight. With few, two are enough.
	minCrashes = 3
	// MaxReported is the largest number of requests in flight that a report has. It
	// exceeds the slots of a target.
	MaxReported = 4096
	// SuspectTime is how long a request stays a suspect.
	SuspectTime = 2 * time.Minute
	// PoisonTime is how long a poison request is refused.
	PoisonTime = 5 * time.Minute
	// SuspectRetryAfter is the wait that a suspect's caller is told while another
	// suspect runs.
	SuspectRetryAfter = 200 * time.Millisecond
	// maxSuspects bounds the suspects of a service, at some 100 bytes each.
	maxSuspects = 2 * MaxReported
	// maxEntries bounds the poison requests of a service.
	maxEntries = 1024
)

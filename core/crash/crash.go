// Package crash finds requests that kill the targets that run them. What was in
// flight when a connection to a target broke is suspect; what was in flight
// again, and alone of the suspects, is convicted and refused for a time.
package crash

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/model"
)

// PrintOf returns the fingerprint of a request. Size is its body's length in
// bytes, for a body that is not held.
func PrintOf(org model.Org, method, path string, body []byte, size int64) model.Print {
	h := xxhash.New()
	for _, part := range []string{string(org), method, path, strconv.FormatInt(size, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return model.Print(h.Sum64())
}

// Death is a connection to a target that broke, with the fingerprints of what
// was in flight there.
type Death struct {
	target model.Instance
	number uint64
	prints []model.Print
}

// NewDeath returns a death. The number is new for each death of a target.
func NewDeath(target model.Instance, number uint64, prints []model.Print) Death {
	return Death{target: target, number: number, prints: prints}
}

// Target returns the target.
func (d Death) Target() model.Instance { return d.target }

// Number tells the deaths of a target apart.
func (d Death) Number() uint64 { return d.number }

// Prints returns the fingerprints of what was in flight.
func (d Death) Prints() []model.Print { return d.prints }

// Verdict is what is held of a request.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Members of Verdict.
type (
	// Clear is a request of which nothing is known.
	Clear struct{}
	// Suspect is a request that was in flight when a target died.
	Suspect struct{}
	// Convict is a request that is refused.
	Convict struct{}
)

func (Clear) isVerdict()   {}
func (Suspect) isVerdict() {}
func (Convict) isVerdict() {}

// Book holds the suspects and convicts of a service. The zero value is empty.
// It is not safe for concurrent use; Clone returns a copy that is not changed.
type Book struct {
	suspects map[model.Print]suspicion
	convicts map[model.Print]model.Instant // until
}

type suspicion struct {
	target model.Instance
	number uint64
	until  model.Instant
}

// Ward watches what runs at one target. The zero value watches nothing.
type Ward struct {
	running map[uint64]entry
	lost    map[uint64]bool // what ran when the target died last
}

type entry struct {
	mark    model.Print
	suspect bool
}

// Bounds.
const (
	// MaxPrints is the largest number of requests in flight that makes them
	// suspects.
	MaxPrints = 64
	// SuspectTime is how long a suspicion lasts.
	SuspectTime = 2 * time.Minute
	// ConvictTime is how long a convict is refused.
	ConvictTime = 5 * time.Minute
	// SuspectWait is the wait that a suspect is told when another one runs.
	SuspectWait = 200 * time.Millisecond
	// maxEntries bounds the suspects and the convicts of a book, each.
	maxEntries = 1024
)

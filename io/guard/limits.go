// Package guard bounds what the callers of a listener can make a process hold:
// connections, unread heads of requests, and their cost when decoded. A head is handed
// to net/http only when it is whole and within the limits, since net/http allocates for
// each line. The package decides nothing about requests; it refuses heads that break the
// limits, and closes connections.
package guard

import "time"

// Limits are what a caller may send on one connection, and how long it may take.
type Limits struct {
	headBytes   int
	headLines   int
	headTimeout time.Duration
	idleTimeout time.Duration
	bodyTimeout time.Duration
}

// NewLimits returns the limits of heads of headBytes and headLines, which must be whole
// within headTimeout of their first byte, on connections that may be idle for
// idleTimeout, and on which a body makes progress within bodyTimeout.
func NewLimits(headBytes, headLines int, headTimeout, idleTimeout, bodyTimeout time.Duration) Limits {
	return Limits{
		headBytes: headBytes, headLines: headLines,
		headTimeout: headTimeout, idleTimeout: idleTimeout, bodyTimeout: bodyTimeout,
	}
}

// Bounds that hold whatever the limits say.
const (
	// MaxHeadBytes is the largest head that any limit can allow, in bytes. A server must
	// accept as much from its connections.
	MaxHeadBytes = 1 << 20
	// maxEmptyLines is how many empty lines before a request are ignored, as clients
	// that end a body with one more line break send them.
	maxEmptyLines = 8
	// lineCost is what one decoded header line takes in memory, in bytes: 9,000 lines
	// took 1.2 MB.
	lineCost = 128
	// byteCost is the memory for each byte of a head: the copy here, and the strings
	// decoded from it.
	byteCost = 2
	// freeCost is the cost of a head that is never refused for want of memory: heads of
	// usual requests stay below it. The bound on connections bounds their sum.
	freeCost = 4 << 10
	// evictionAge is how long a connection without a whole request is safe from being
	// closed for a newer one, so that a burst of callers does not close its own.
	evictionAge = time.Second
	// lingerTime and lingerBytes bound what is read after a refusal, so that the caller
	// receives it before the connection is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// calmTime is how long nothing must have been refused until that is logged.
	calmTime = 10 * time.Second
)

// Package link carries control messages between daemons: CBOR over WebSocket,
// one connection for each direction, with heartbeats.
package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/clock"
	"anvilstand/io/codec"
	"anvilstand/io/wire"
)

// Bounds of a link.
const (
	// beatEvery is the time between the heartbeats of a link.
	beatEvery = time.Second
	// silence is how long a link may go without an answer to a heartbeat.
	silence = 2 * time.Second
	// maxMessage is the largest control message, in bytes.
	maxMessage = 1 << 20
	// queued is how many messages wait for one peer. When there are more, the
	// newest is lost.
	queued = 256
	// redial is the shortest wait before a link is dialed again.
	redial = 200 * time.Millisecond
	// maxQuiet is how many heartbeats a link lives without a message.
	maxQuiet = 60
	// maxFailed is how often in a row a link is dialed in vain before it is
	// given up until the next message.
	maxFailed = 10
)

// Headers of the request that opens a link.
const (
	// headerIncarnation names the process at either end.
	headerIncarnation = "Incarnation"
	// headerAddress says where the dialing daemon listens for its peers.
	headerAddress = "Address"
)

// Registry is what the links know of the daemons, and whom they tell.
type Registry interface {
	// Recorded returns the process recorded at an address, zero if none is.
	Recorded(address string) model.Incarnation
	// Ended tells that the process recorded at an address has ended.
	Ended(address string, process model.Incarnation, e fleet.Evidence)
}

// Links sends messages to other daemons. Each peer has a queue and a
// connection of its own, opened when it is first needed and given up when it
// has been idle.
type Links struct {
	self     fleet.Member
	secret   string
	caller   *http.Client
	log      hclog.Logger
	registry Registry
	group    *errgroup.Group
	ctx      context.Context
	mu       sync.Mutex
	open     map[string]chan peer.Message
}

// New returns links that live until ctx ends, in a group of goroutines.
func New(ctx context.Context, g *errgroup.Group, n wire.Network, self fleet.Member, secret string, log hclog.Logger, r Registry) *Links {
	return &Links{
		self: self, secret: secret, log: log, registry: r, group: g, ctx: ctx,
		caller: &http.Client{Transport: &http.Transport{DialContext: n.DialContext}},
		open:   map[string]chan peer.Message{},
	}
}

// Send queues a message for the daemon at an address, as host:port, and
// reports whether there was room. It does not wait.
func (l *Links) Send(address string, m peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.open[address]
	if !ok {
		q = make(chan peer.Message, queued)
		l.open[address] = q
		l.group.Go(func() error {
			l.keep(address, q)
			return nil
		})
	}
	select {
	case q <- m:
		return true
	default:
		return false
	}
}

// retire forgets an idle link, unless a message has come meanwhile.
func (l *Links) retire(address string, q chan peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(l.open, address)
	return true
}

// errIdle ends a link that has nothing to send.
var errIdle = errors.New("link is idle")

// keep holds a connection to an address, and dials again when it fails.
func (l *Links) keep(address string, q chan peer.Message) {
	for failed := 0; l.ctx.Err() == nil; {
		err := l.run(address, q)
		switch {
		case l.ctx.Err() != nil:
			return
		case errors.Is(err, errIdle) || failed >= maxFailed:
			if l.retire(address, q) {
				return
			}
			failed = 0
		case errors.Is(err, errDial):
			failed++
			l.drop(q)
		default:
			failed = 0
		}
		l.log.Debug("link failed", "peer", address, "error", err)
		_ = clock.Sleep(l.ctx, redial+rand.N(redial))
	}
}

// drop loses the messages that wait, as they are too old once a daemon that
// did not answer does.
func (l *Links) drop(q chan peer.Message) {
	for range len(q) {
		<-q
	}
}

func (l *Links) run(address string, q chan peer.Message) error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	ctx = conn.CloseRead(ctx)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for quiet := 0; ; {
		select {
		case <-ctx.Done():
			return errors.Errorf("link to %s closed", address)
		case <-beat.C:
			if quiet++; quiet > maxQuiet {
				return errIdle
			}
			err = ping(ctx, conn)
		case m := <-q:
			quiet = 0
			err = write(ctx, conn, m)
		}
		if err != nil {
			return errors.Wrapf(err, "send to %s", address)
		}
	}
}

// errDial means that a link could not be opened.
var errDial = errors.New("dial failed")

// dial opens a connection and compares who answers with who is recorded.
func (l *Links) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	recorded := l.registry.Recorded(address)
	header := http.Header{}
	header.Set("Authorization", "Bearer "+l.secret)
	header.Set("From", string(l.self.Name()))
	header.Set(headerAddress, l.self.Address())
	header.Set(headerIncarnation, strconv.FormatUint(uint64(l.self.Incarnation()), 10))
	dial, stop := context.WithTimeout(ctx, silence)
	defer stop()
	conn, w, err := websocket.Dial(dial, "ws://"+address+"/link", &websocket.DialOptions{HTTPHeader: header, HTTPClient: l.caller})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && recorded != 0 {
			l.registry.Ended(address, recorded, fleet.Refused{})
		}
		return nil, errors.Wrapf(errDial, "dial %s: %v", address, err)
	}
	born, err := strconv.ParseUint(w.Header.Get(headerIncarnation), 10, 64)
	if err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(errDial, "dial %s: no incarnation", address)
	}
	if by := model.Incarnation(born); recorded != 0 && by != recorded {
		l.registry.Ended(address, recorded, fleet.NewReplaced(by))
	}
	return conn, nil
}

func ping(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	return conn.Ping(ctx)
}

func write(ctx context.Context, conn *websocket.Conn, m peer.Message) error {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// Package link sends control messages between daemons, as CBOR over WebSocket.
// There is one connection for each direction, which is checked by pings. It reports
// evidence that a process may have ended; what is sent to whom is decided in core/gossip
// and core/quota.
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

// Times and bounds of a link.
const (
	// pingInterval is the time between two pings of a link in use.
	pingInterval = time.Second
	// answerTimeout bounds each dial, ping and write.
	answerTimeout = 2 * time.Second
	// maxMessage is the largest control message, in bytes.
	maxMessage = 1 << 20
	// maxQueued is the number of messages that can wait for one peer. When the
	// queue is full, the newest message is dropped.
	maxQueued = 256
	// redialDelay is the shortest delay before a link is dialed again; the
	// longest is twice that.
	redialDelay = 200 * time.Millisecond
	// idlePingTicks is the number of ping intervals between two pings of a link that
	// has sent nothing since the last one. The operating system probes it meanwhile.
	idlePingTicks = 10
	// maxIdleTicks is the number of ping intervals without a message, after which a
	// link is closed as idle.
	maxIdleTicks = 60
	// maxRedials is how often in a row a failed dial is repeated before the link
	// is closed until the next message.
	maxRedials = 10
)

// Headers of the request that opens a link.
const (
	// headerIncarnation has the incarnation of the sender's process, in the
	// request and in the response.
	headerIncarnation = "Incarnation"
	// headerAddress has the host:port where the dialing daemon listens for its
	// peers.
	headerAddress = "Address"
)

// Registry gives links the recorded processes, and takes evidence that one may have
// ended.
type Registry interface {
	// RecordedProcess returns the incarnation of the process recorded at an address, or
	// zero if there is none.
	RecordedProcess(address string) model.Incarnation
	// ReportEnded takes evidence that the process recorded at an address may have
	// ended.
	ReportEnded(address string, recorded model.Incarnation, e fleet.Evidence)
}

// Links sends messages to other daemons. Each peer has its own queue and
// connection, which is opened for the first message and closed when it has been
// idle for some time.
type Links struct {
	self     fleet.Member
	secret   string
	client   *http.Client
	log      hclog.Logger
	registry Registry
	group    *errgroup.Group
	ctx      context.Context
	mu       sync.Mutex
	queues   map[string]chan peer.Message // by address
}

// New returns links that last until ctx ends. Their goroutines run in g and
// return no error.
func New(ctx context.Context, g *errgroup.Group, n wire.Network, self fleet.Member, secret string, log hclog.Logger, r Registry) *Links {
	return &Links{
		self: self, secret: secret, log: log, registry: r, group: g, ctx: ctx,
		client: wire.NewClient(n),
		queues: map[string]chan peer.Message{},
	}
}

// Send queues a message for the daemon at an address, host:port. It does not
// block. It returns false when the queue is full and the message is dropped.
func (l *Links) Send(address string, m peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.queues[address]
	if !ok {
		q = make(chan peer.Message, maxQueued)
		l.queues[address] = q
		l.group.Go(func() error {
			l.maintain(address, q)
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

// removeIdle removes the queue of an idle link and returns true, unless a message
// has been queued meanwhile.
func (l *Links) removeIdle(address string, q chan peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(l.queues, address)
	return true
}

// errIdle means that a link has had nothing to send.
var errIdle = errors.New("link is idle")

// maintain keeps a connection to an address open, and dials again when it fails.
// It returns when the link is idle or dialing has failed too often.
func (l *Links) maintain(address string, q chan peer.Message) {
	for failures := 0; l.ctx.Err() == nil; {
		err := l.run(address, q)
		switch {
		case l.ctx.Err() != nil:
			return
		case errors.Is(err, errIdle) || failures >= maxRedials:
			if l.removeIdle(address, q) {
				return
			}
			failures = 0
		case errors.Is(err, errDial):
			failures++
			l.discardQueued(q)
		default:
			failures = 0
		}
		l.log.Debug("link failed", "peer", address, "error", err)
		_ = clock.Sleep(l.ctx, redialDelay+rand.N(redialDelay))
	}
}

// discardQueued discards the queued messages. They would be out of date by the
// time that a daemon that cannot be dialed answers again.
func (l *Links) discardQueued(q chan peer.Message) {
	for range len(q) {
		<-q
	}
}

// run opens a connection and sends queued messages and pings, until one fails or
// the link has been idle. A ping confirms that the messages before it have arrived, so
// a link without any is pinged seldom: most links of a large fleet are idle at a time.
func (l *Links) run(address string, q chan peer.Message) error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	ctx = conn.CloseRead(ctx)
	pingTick := time.NewTicker(pingInterval)
	defer pingTick.Stop()
	confirmed := false // no message has been sent since the last ping
	for idleTicks := 0; ; {
		select {
		case <-ctx.Done():
			return errors.Errorf("link to %s ended: closed by the peer, or a read failed", address)
		case <-pingTick.C:
			if idleTicks++; idleTicks > maxIdleTicks {
				return errIdle
			}
			if confirmed && idleTicks%idlePingTicks != 0 {
				continue
			}
			err, confirmed = ping(ctx, conn), true
		case m := <-q:
			idleTicks, confirmed = 0, false
			err = write(ctx, conn, m)
		}
		if err != nil {
			return errors.Wrapf(err, "send to %s", address)
		}
	}
}

// errDial means that a link could not be opened.
var errDial = errors.New("link not opened")

// dial opens a connection. It reports evidence that the recorded process may have
// ended: a refused connection, or an answer of another process. A timeout is no
// evidence, as the process may be paused or partitioned.
func (l *Links) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	recorded := l.registry.RecordedProcess(address)
	header := http.Header{}
	header.Set("Authorization", "Bearer "+l.secret)
	header.Set("From", string(l.self.Name()))
	header.Set(headerAddress, l.self.Address())
	header.Set(headerIncarnation, strconv.FormatUint(uint64(l.self.Incarnation()), 10))
	dialCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(dialCtx, "ws://"+address+"/link", &websocket.DialOptions{HTTPHeader: header, HTTPClient: l.client})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && recorded != 0 {
			l.registry.ReportEnded(address, recorded, fleet.Refused{})
		}
		return nil, errors.Wrapf(errDial, "dial %s: %v", address, err)
	}
	incarnation, err := strconv.ParseUint(resp.Header.Get(headerIncarnation), 10, 64)
	if err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(errDial, "dial %s: response without a valid Incarnation header", address)
	}
	if answered := model.Incarnation(incarnation); recorded != 0 && answered != recorded {
		l.registry.ReportEnded(address, recorded, fleet.NewReplaced(answered))
	}
	return conn, nil
}

func ping(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return conn.Ping(ctx)
}

func write(ctx context.Context, conn *websocket.Conn, m peer.Message) error {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

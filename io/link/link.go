// Package link carries control messages between daemons: CBOR over WebSocket,
// one connection for each direction, with heartbeats.
package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/core/peer"
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
)

// Links sends messages to other daemons. Each peer has a queue and a
// connection of its own, opened when it is first needed.
type Links struct {
	self   model.Instance
	secret string
	caller *http.Client
	log    hclog.Logger
	group  *errgroup.Group
	ctx    context.Context
	mu     sync.Mutex
	open   map[string]chan peer.Message
}

// New returns links that live until ctx ends, in a group of goroutines.
func New(ctx context.Context, g *errgroup.Group, n wire.Network, self model.Instance, secret string, log hclog.Logger) *Links {
	return &Links{
		self: self, secret: secret, log: log, group: g, ctx: ctx,
		caller: &http.Client{Transport: &http.Transport{DialContext: n.DialContext}},
		open:   map[string]chan peer.Message{},
	}
}

// Send queues a message for the daemon at an address, as host:port, and
// reports whether there was room. It does not wait.
func (l *Links) Send(address string, m peer.Message) bool {
	select {
	case l.queue(address) <- m:
		return true
	default:
		return false
	}
}

func (l *Links) queue(address string) chan peer.Message {
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
	return q
}

// keep holds a connection to an address, and dials again when it fails.
func (l *Links) keep(address string, q chan peer.Message) {
	for l.ctx.Err() == nil {
		if err := l.run(address, q); err != nil && l.ctx.Err() == nil {
			l.log.Debug("link failed", "peer", address, "error", err)
			rest(l.ctx, redial)
		}
	}
}

func (l *Links) run(address string, q chan peer.Message) error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+l.secret)
	header.Set("From", string(l.self))
	dial, stop := context.WithTimeout(ctx, silence)
	defer stop()
	conn, _, err := websocket.Dial(dial, "ws://"+address+"/link", &websocket.DialOptions{HTTPHeader: header, HTTPClient: l.caller})
	if err != nil {
		return errors.Wrapf(err, "dial %s", address)
	}
	defer func() { _ = conn.CloseNow() }()
	ctx = conn.CloseRead(ctx)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Errorf("link to %s closed", address)
		case <-beat.C:
			err = ping(ctx, conn)
		case m := <-q:
			err = write(ctx, conn, m)
		}
		if err != nil {
			return errors.Wrapf(err, "send to %s", address)
		}
	}
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

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

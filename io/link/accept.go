package link

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/lang"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/codec"
)

// Receiver takes the messages that arrive.
type Receiver func(ctx context.Context, p peer.Envelope) error

// Accept serves the links of other daemons and hands on what they send. A peer
// that sends what does not decode is cut off.
func Accept(self model.Incarnation, secret string, log hclog.Logger, take Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := []byte(r.Header.Get("Authorization"))
		from := r.Header.Get("From")
		if subtle.ConstantTimeCompare(shown, []byte("Bearer "+secret)) != 1 || !lang.IsName(from) {
			http.Error(w, "peer is not known", http.StatusUnauthorized)
			return
		}
		born, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 10, 64)
		if err != nil {
			http.Error(w, "incarnation is not a number", http.StatusBadRequest)
			return
		}
		w.Header().Set(headerIncarnation, strconv.FormatUint(uint64(self), 10))
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			log.Debug("accept link failed", "peer", from, "error", err)
			return
		}
		defer func() { _ = conn.CloseNow() }()
		conn.SetReadLimit(maxMessage)
		err = receive(r.Context(), conn, take, func(m peer.Message) peer.Envelope {
			p := peer.NewEnvelope(model.Instance(from), m).WithFrom(model.Incarnation(born))
			return p.WithAddress(r.Header.Get(headerAddress))
		})
		log.Debug("link ended", "peer", from, "error", err)
		_ = conn.Close(websocket.StatusProtocolError, "link ended")
	})
}

func receive(ctx context.Context, conn *websocket.Conn, take Receiver, post func(peer.Message) peer.Envelope) error {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		m, err := codec.DecodeMessage(data)
		if err != nil {
			return err
		}
		if err := take(ctx, post(m)); err != nil {
			return err
		}
	}
}

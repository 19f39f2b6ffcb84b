package link

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/codec"
)

// Receiver handles a message of another daemon. An error ends the link.
type Receiver func(ctx context.Context, e peer.Envelope) error

// Accept returns the handler for links that other daemons open. A peer has to
// send the shared secret as a bearer token, its name in the header From and its
// incarnation in the header Incarnation; otherwise it is refused. A message that
// does not decode ends the link.
func Accept(self model.Incarnation, secret string, log hclog.Logger, handle Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := []byte(r.Header.Get("Authorization"))
		from := r.Header.Get("From")
		if subtle.ConstantTimeCompare(authorization, []byte("Bearer "+secret)) != 1 || !model.IsPortable(from) {
			http.Error(w, "peer is not known", http.StatusUnauthorized)
			return
		}
		incarnation, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 10, 64)
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
		err = receive(r.Context(), conn, handle, func(m peer.Message) peer.Envelope {
			e := peer.NewEnvelope(model.Instance(from), m).WithIncarnation(model.Incarnation(incarnation))
			return e.WithAddress(r.Header.Get(headerAddress))
		})
		log.Debug("link ended", "peer", from, "error", err)
		_ = conn.Close(websocket.StatusProtocolError, "link ended")
	})
}

// receive handles messages until the connection or the handling of one fails.
func receive(ctx context.Context, conn *websocket.Conn, handle Receiver, envelope func(peer.Message) peer.Envelope) error {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		m, err := codec.DecodeMessage(data)
		if err != nil {
			return err
		}
		if err := handle(ctx, envelope(m)); err != nil {
			return err
		}
	}
}

package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/peer"
	"anvilstand/io/ctrl"
	"anvilstand/io/guard"
	"anvilstand/io/link"
)

// serverTimeout is the time limit of the HTTP servers for heads and idle connections.
// Those of the guard are shorter.
const serverTimeout = time.Hour

// servers returns an HTTP server for each listener, in the order of d.listeners.
// The contexts of their requests end with ctx.
func (d *Daemon) servers(ctx context.Context) []*http.Server {
	handlers := []http.Handler{d.front.CallerHandler(), d.peerHandler(), d.oper.Handler()}
	if d.platform != nil {
		handlers = append(handlers, http.HandlerFunc(d.serveReady), d.platform.StatusHandler(statusSink{d}))
	}
	servers := make([]*http.Server, 0, len(handlers))
	for _, h := range handlers {
		s := &http.Server{
			Handler:           h,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ReadHeaderTimeout: serverTimeout,
			IdleTimeout:       serverTimeout,
			MaxHeaderBytes:    guard.MaxHeadBytes,
			ErrorLog:          d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		guard.Attach(s, d.front.RefuseHead)
		servers = append(servers, s)
	}
	return servers
}

// peerHandler serves the other daemons: relayed requests below /relay, control
// messages at /link, claims of idempotency keys at /claim, their releases at /release,
// withdrawals of relayed requests at /withdraw. It is no router, since a router copies
// each request, and some clean paths.
func (d *Daemon) peerHandler() http.Handler {
	links := link.Accept(d.self.Incarnation(), d.settings.Secret(), d.log, func(ctx context.Context, p peer.Envelope) error {
		return d.loop.Do(ctx, ctrl.NewMessageReceived(p))
	})
	claims, releases := d.front.ClaimHandler(), d.front.ReleaseHandler()
	relays, withdrawals := d.front.RelayHandler(), d.front.WithdrawHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := r.URL.EscapedPath(); {
		case strings.HasPrefix(path, "/relay/"):
			relays.ServeHTTP(w, r)
		case path == "/link":
			links.ServeHTTP(w, r)
		case path == "/claim":
			claims.ServeHTTP(w, r)
		case path == "/release":
			releases.ServeHTTP(w, r)
		case path == "/withdraw":
			withdrawals.ServeHTTP(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", ln.Addr())
	}
	return nil
}

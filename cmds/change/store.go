package change

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/fake"
)

// Store is the subcommand that runs an in-memory fake of the key-value service.
var Store = &cli.Command{
	Name:      "store",
	Usage:     "run a stand-in of the platform's key-value service, in memory",
	UsageText: "anvilstand store --listen 127.0.0.1:7070\ncurl -X PUT http://127.0.0.1:7070/fault/down",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "listen", Usage: "`ADDR` to listen at, as host:port", Value: "127.0.0.1:7070"},
	},
	Action: serveStore,
}

// storeHeaderTimeout bounds the time to read the headers of a request.
const storeHeaderTimeout = 5 * time.Second

func serveStore(ctx context.Context, cmd *cli.Command) error {
	ln, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: fake.Handler(&fake.Store{}), ReadHeaderTimeout: storeHeaderTimeout}
	hclog.Default().Info("serving", "address", ln.Addr().String())
	var g errgroup.Group
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return g.Wait()
}

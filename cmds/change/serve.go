// Package change holds the subcommands that change something.
package change

import (
	"context"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"anvilstand/io/daemon"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/wire"
)

// Serve runs one daemon beside one target.
var Serve = &cli.Command{
	Name:      "serve",
	Usage:     "run the daemon beside a target",
	UsageText: "anvilstand serve --settings examples/pilha.json",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		&cli.BoolFlag{Name: "json", Usage: "write the log as JSON"},
	},
	Action: serve,
}

func serve(ctx context.Context, cmd *cli.Command) error {
	text, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	p, err := prefs.Parse(text)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: string(p.Name()), JSONFormat: cmd.Bool("json")})
	d, err := daemon.New(p, wire.TCP{}, store.NewClient(p.Store(), &http.Client{}), log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

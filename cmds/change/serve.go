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
	"anvilstand/platform"
)

// Serve runs one daemon beside one target.
var Serve = &cli.Command{
	Name:        "serve",
	Usage:       "run the daemon beside a target",
	UsageText:   "anvilstand serve --settings examples/pilha.json",
	Description: "On the users' platform the settings file stands in ANVILSTAND_BOOT.",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars("ANVILSTAND_BOOT")},
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
	log := hclog.New(&hclog.LoggerOptions{Name: string(p.Name()), Output: os.Stdout, JSONFormat: cmd.Bool("json")})
	d, err := open(p, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func open(p *prefs.Prefs, log hclog.Logger) (*daemon.Daemon, error) {
	if p.OnPlatform() {
		return daemon.NewOn(p, wire.TCP{}, platform.New(p.Store(), wire.TCP{}), log)
	}
	return daemon.New(p, wire.TCP{}, store.NewClient(p.Store(), &http.Client{}), log)
}

// Package change holds the subcommands that run a process or send a command: serve,
// store, tell and try. The language of the commands is in core/change.
package change

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/daemon"
	"anvilstand/io/logs"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/wire"
	"anvilstand/platform"
)

// Serve is the subcommand that runs a daemon beside a target.
var Serve = &cli.Command{
	Name:        "serve",
	Usage:       "run the daemon beside a target",
	UsageText:   "anvilstand serve --settings examples/pilha.json",
	Description: "On the users' platform the settings file stands in " + platform.SettingsEnv + ".",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(platform.SettingsEnv)},
		&cli.BoolFlag{Name: "json", Usage: "write the log as JSON"},
		&cli.FloatFlag{Name: "memory", Usage: "memory of the process in `MB`, in place of the setting"},
	},
	Action: serve,
}

func serve(ctx context.Context, cmd *cli.Command) error {
	// Without a handler a SIGHUP would end the process, so it is installed before
	// anything else.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	text, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	p, err := prefs.Parse(text)
	if err != nil {
		return err
	}
	if cmd.IsSet("memory") {
		if p, err = p.WithMemory(cmd.Float("memory")); err != nil {
			return err
		}
	}
	if p.HasMemoryLimit() {
		// The collector works harder near the limit, and gives memory back after a peak.
		debug.SetMemoryLimit(p.Memory() / 4 * 3)
	}
	out := logs.New(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Name: string(p.Name()), Output: out, JSONFormat: cmd.Bool("json")})
	d, err := newDaemon(p, log)
	if err != nil {
		return err
	}
	return writeLogWhile(ctx, out, func() error { return runDaemon(ctx, d, log, cmd.String("settings"), reloads) })
}

// writeLogWhile writes the log out in the background while run runs. The log
// outlives ctx, so that the last lines of run are written as well.
func writeLogWhile(ctx context.Context, out *logs.Writer, run func() error) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return out.Run(ctx) })
	err := run()
	stop()
	return errors.Join(err, g.Wait())
}

// runDaemon runs the daemon until ctx ends. It reloads the settings file on each
// signal from reloads.
func runDaemon(ctx context.Context, d *daemon.Daemon, log hclog.Logger, file string, reloads <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-reloads:
				reload(d, log, file)
			}
		}
	})
	err := d.Run(ctx)
	stop()
	return errors.Join(err, g.Wait())
}

// reload reads the settings file again and passes it to the daemon. If it cannot
// be read or has faults, that is logged and the settings in force stay.
func reload(d *daemon.Daemon, log hclog.Logger, file string) {
	text, err := os.ReadFile(file)
	if err != nil {
		log.Error("settings not read", "file", file, "error", err)
		return
	}
	p, err := prefs.Parse(text)
	if err != nil {
		log.Error("settings refused", "file", file, "error", err)
		return
	}
	d.Reload(p)
}

// newDaemon returns a daemon on the users' platform, or one that uses the
// key-value service alone, as the settings say.
func newDaemon(p *prefs.Settings, log hclog.Logger) (*daemon.Daemon, error) {
	if p.UsesPlatform() {
		return daemon.NewOnPlatform(p, wire.TCP{}, platform.New(p.Store(), wire.TCP{}), log)
	}
	return daemon.New(p, wire.TCP{}, store.NewClient(p.Store(), wire.NewClient(wire.TCP{})), log)
}

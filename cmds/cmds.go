// Package cmds assembles the command line. Subcommands that run a process or change
// something are in package change, those that only read in package query, one
// file each.
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"anvilstand/cmds/change"
	"anvilstand/cmds/query"
	"anvilstand/cmds/tool"
)

// Root returns the anvilstand command with all subcommands. It does not exit on
// errors: Run turns them into exit codes.
func Root() *cli.Command {
	return &cli.Command{
		Name:  "anvilstand",
		Usage: "overload control for service call graphs",
		Commands: []*cli.Command{
			change.Serve, change.Tell, change.Store, change.Try,
			query.Ask, query.Check, query.Explain, query.Version, query.Where,
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Run runs the command line args, of which the first is the program's name, and
// returns the exit code. Errors are printed on standard error. SIGINT and SIGTERM
// cancel the context of the subcommand.
func Run(ctx context.Context, args []string) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := Root().Run(ctx, args)
	if err == nil {
		return tool.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *tool.Error
	if errors.As(err, &exit) {
		return exit.Code()
	}
	return tool.ExitRefused
}

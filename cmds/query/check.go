package query

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
	"anvilstand/io/prefs"
)

// Check is the subcommand that reports all faults of a settings file.
var Check = &cli.Command{
	Name:      "check",
	Usage:     "say every fault of a settings file",
	ArgsUsage: "FILE",
	UsageText: "anvilstand check examples/pilha.json",
	Action:    check,
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return tool.NewError(tool.ExitRefused, "check: expected FILE")
	}
	text, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if _, err := prefs.Parse(text); err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "no faults")
	return err
}

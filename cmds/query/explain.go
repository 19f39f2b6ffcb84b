package query

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
	"anvilstand/core/model"
	"anvilstand/core/story"
	"anvilstand/io/saved"
)

// Explain is the subcommand that reports from saved logs what happened to a
// request and why.
var Explain = &cli.Command{
	Name:        "explain",
	Usage:       "tell what became of a request, from saved logs",
	ArgsUsage:   "ID [FILE...]",
	UsageText:   "anvilstand explain 9630684b86ad0f6c *.log",
	Description: "The logs are those that daemons write with --json. Without a FILE they are read from standard input.",
	Action:      explain,
}

func explain(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return tool.NewError(tool.ExitRefused, "explain: expected ID [FILE...]")
	}
	log, err := readLogs(cmd)
	if err != nil {
		return err
	}
	id := cmd.Args().First()
	lines := story.Explain(log.Lines(), log.Gaps(), model.Request(id))
	if len(lines) == 0 {
		return tool.NewError(tool.ExitRefused, fmt.Sprintf("explain: no log line is of request %s; read %d lines of requests and %d lines that are not JSON of a daemon's log", id, len(log.Lines()), log.UndecodedLines()))
	}
	for _, line := range lines {
		fmt.Fprintln(cmd.Root().Writer, line)
	}
	return nil
}

// readLogs reads the log files in the arguments, or standard input if there are
// none.
func readLogs(cmd *cli.Command) (*saved.Log, error) {
	var log saved.Log
	files := cmd.Args().Tail()
	if len(files) == 0 {
		return &log, log.Read(cmd.Root().Reader)
	}
	for _, name := range files {
		if err := readLog(&log, name); err != nil {
			return nil, err
		}
	}
	return &log, nil
}

func readLog(log *saved.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer func() { _ = f.Close() }()
	if err := log.Read(f); err != nil {
		return errors.Wrapf(err, "explain: %s", name)
	}
	return nil
}

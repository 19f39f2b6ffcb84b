package change

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
	"anvilstand/proof/trial"
)

// Try is the subcommand that runs a small fleet in one process under load and
// faults, and reports measurements and broken promises.
var Try = &cli.Command{
	Name:      "try",
	Usage:     "run a small fleet on loopback, send it traffic and measure",
	UsageText: "anvilstand try --profile pilha --seconds 10",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "profile", Usage: "`NAME` of the workload: pilha or sanabil", Value: "pilha"},
		&cli.Float64Flag{Name: "seconds", Usage: "`N` seconds of traffic", Value: 10},
		&cli.Uint64Flag{Name: "seed", Usage: "`N` that the traffic is drawn from", Value: 1},
		&cli.StringFlag{Name: "fault", Usage: "`NAME` of a fault, names joined by +, or list", Value: "surge"},
		&cli.BoolFlag{Name: "json", Usage: "print the measures as one JSON object"},
	},
	Action: try,
}

// progress returns standard error if it is a terminal, else nil: no progress is
// shown.
func progress() io.Writer {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stderr
}

func try(ctx context.Context, cmd *cli.Command) error {
	profile, ok := trial.ProfileByName(cmd.String("profile"))
	if !ok {
		return tool.NewError(tool.ExitRefused, "try: --profile is pilha or sanabil")
	}
	if cmd.String("fault") == "list" {
		_, err := fmt.Fprint(cmd.Root().Writer, trial.FaultList())
		return err
	}
	faults, err := trial.ParseFaults(cmd.String("fault"))
	if err != nil {
		return tool.NewError(tool.ExitRefused, "try: "+err.Error())
	}
	report, err := trial.New(profile, cmd.Float64("seconds"), cmd.Uint64("seed"), faults...).Run(ctx, progress())
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = json.NewEncoder(cmd.Root().Writer).Encode(report)
	} else {
		_, err = fmt.Fprint(cmd.Root().Writer, report.Text())
	}
	if err == nil && report.HasViolation() {
		return tool.NewError(tool.ExitRefused, "try: a promise was broken")
	}
	return err
}

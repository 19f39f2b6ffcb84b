package query

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
)

// Where is the subcommand that tells where a request would go now, and why.
var Where = &cli.Command{
	Name:      "where",
	Usage:     "tell where a request would go now and why, without sending it",
	ArgsUsage: "ADDR METHOD PATH",
	UsageText: "anvilstand where 127.0.0.1:7003 GET /stock/a --org acme",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "host", Usage: "`HOST` of the request, where routes are of hosts"},
		&cli.StringFlag{Name: "org", Usage: "`ORG` that sends it"},
		&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("ANVILSTAND_KEY")},
		tool.AuthorityFlag(),
	},
	Action: where,
}

func where(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 3 {
		return tool.NewError(tool.ExitRefused, "where: expected ADDR METHOD PATH")
	}
	words := append([]string{"where"}, cmd.Args().Slice()[1:]...)
	for _, option := range []string{"host", "org"} {
		if value := cmd.String(option); value != "" {
			words = append(words, option, value)
		}
	}
	return answer(ctx, cmd, strings.Join(words, " "))
}

// Package query holds the subcommands that change nothing.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
)

// Ask sends a query to a daemon.
var Ask = &cli.Command{
	Name:      "ask",
	Usage:     "ask what is in force and who is served",
	ArgsUsage: "ADDR 'QUERY'",
	UsageText: "anvilstand ask 127.0.0.1:7003 orgs",
	Flags: []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("ANVILSTAND_KEY")},
		tool.AuthorityFlag(),
	},
	Action: ask,
}

// askTimeout bounds the wait for the daemon's answer.
const askTimeout = 15 * time.Second

func ask(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return tool.New(tool.Refused, "ask: expected ADDR 'QUERY'")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, body, err := get(ctx, cmd)
	if err != nil {
		return tool.New(tool.Unknown, fmt.Sprintf("ask %s: %v", cmd.Args().First(), err))
	}
	if status != http.StatusOK {
		return tool.New(tool.Refused, strings.TrimSpace(string(body)))
	}
	if cmd.Bool("json") {
		_, err = cmd.Root().Writer.Write(body)
		return err
	}
	return printTable(cmd.Root().Writer, body)
}

func get(ctx context.Context, cmd *cli.Command) (int, []byte, error) {
	query := url.Values{}
	query.Set("q", cmd.Args().Get(1))
	client, base, err := tool.Client(cmd, cmd.Args().First())
	if err != nil {
		return 0, nil, err
	}
	target := base + "/ask?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	w, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	return w.StatusCode, body, err
}

func printTable(w io.Writer, body []byte) error {
	var table struct {
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
	}
	if err := json.Unmarshal(body, &table); err != nil {
		return errors.Wrap(err, "read answer")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(table.Columns, "\t"))
	for _, row := range table.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// Package query holds the subcommands that only read: ask, check, explain, version and
// where. The language of the operators' queries is in core/query.
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

// Ask is the subcommand that sends a query to a daemon and prints its answer.
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
		return tool.NewError(tool.ExitRefused, "ask: expected ADDR 'QUERY'")
	}
	return answer(ctx, cmd, cmd.Args().Get(1))
}

// answer sends a query to the daemon in the first argument and prints the answer.
func answer(ctx context.Context, cmd *cli.Command, query string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, body, err := get(ctx, cmd, query)
	if err != nil {
		return tool.NewError(tool.ExitUnknown, fmt.Sprintf("%s %s: %v", cmd.Name, cmd.Args().First(), err))
	}
	if status != http.StatusOK {
		return tool.NewError(tool.ExitRefused, strings.TrimSpace(string(body)))
	}
	if cmd.Bool("json") {
		_, err = cmd.Root().Writer.Write(body)
		return err
	}
	return printTable(cmd.Root().Writer, body)
}

// get sends the query and returns the status and the body of the response.
func get(ctx context.Context, cmd *cli.Command, query string) (int, []byte, error) {
	params := url.Values{}
	params.Set("q", query)
	client, baseURL, err := tool.Client(cmd, cmd.Args().First())
	if err != nil {
		return 0, nil, err
	}
	address := baseURL + "/ask?" + params.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// printTable prints an answer, which is JSON with columns and rows, as a table.
func printTable(w io.Writer, body []byte) error {
	var table struct {
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
	}
	if err := json.Unmarshal(body, &table); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(table.Columns, "\t"))
	for _, row := range table.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

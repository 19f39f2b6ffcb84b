package change

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"anvilstand/cmds/tool"
)

// Tell is the subcommand that sends a command to a daemon.
var Tell = &cli.Command{
	Name:      "tell",
	Usage:     "change the configuration",
	ArgsUsage: "ADDR 'COMMAND'",
	UsageText: "anvilstand tell 127.0.0.1:7003 'add org acme rate 100 burst 20'",
	Flags: []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
		&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("ANVILSTAND_KEY")},
		&cli.StringFlag{Name: "op", Usage: "`ID` of the operation, to send it again safely"},
		tool.AuthorityFlag(),
		&cli.Uint64Flag{Name: "revision", Usage: "revision `N` that the command expects in force"},
	},
	Action: tell,
}

// tellTimeout bounds the wait for the daemon's answer.
const tellTimeout = 15 * time.Second

func tell(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return tool.NewError(tool.ExitRefused, "tell: expected ADDR 'COMMAND'")
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	resp, err := post(ctx, cmd)
	if err != nil {
		return tool.NewError(tool.ExitUnknown, fmt.Sprintf("tell %s: %v", cmd.Args().First(), err))
	}
	defer resp.Body.Close()
	var result struct {
		Revision uint64 `json:"revision"`
		Result   string `json:"result"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return tool.NewError(tool.ExitUnknown, fmt.Sprintf("tell %s: %v", cmd.Args().First(), err))
	}
	if cmd.Bool("json") {
		_ = json.NewEncoder(cmd.Root().Writer).Encode(result)
	} else if resp.StatusCode == http.StatusOK {
		fmt.Fprintf(cmd.Root().Writer, "revision %d: %s\n", result.Revision, result.Result)
	}
	return outcome(resp.StatusCode, result.Result)
}

// post sends the command. Its operation id makes it idempotent; without --op a
// random one is used.
func post(ctx context.Context, cmd *cli.Command) (*http.Response, error) {
	op := cmd.String("op")
	if op == "" {
		op = rand.Text()
	}
	params := url.Values{}
	params.Set("op", op)
	if cmd.IsSet("revision") {
		params.Set("revision", strconv.FormatUint(cmd.Uint64("revision"), 10))
	}
	client, baseURL, err := tool.Client(cmd, cmd.Args().First())
	if err != nil {
		return nil, err
	}
	address := baseURL + "/tell?" + params.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte(cmd.Args().Get(1))))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	return client.Do(req)
}

// outcome returns the error for the status of a daemon's answer, with the answer
// as its text. A status of 502 means that the outcome is unknown, any other but 200
// that the command was refused.
func outcome(status int, text string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return tool.NewError(tool.ExitUnknown, text)
	}
	return tool.NewError(tool.ExitRefused, text)
}

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

// Tell sends a command to a daemon.
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
		return tool.New(tool.Refused, "tell: expected ADDR 'COMMAND'")
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	w, err := post(ctx, cmd)
	if err != nil {
		return tool.New(tool.Unknown, fmt.Sprintf("tell %s: %v", cmd.Args().First(), err))
	}
	defer w.Body.Close()
	var result struct {
		Revision uint64 `json:"revision"`
		Result   string `json:"result"`
	}
	if err := json.NewDecoder(w.Body).Decode(&result); err != nil {
		return tool.New(tool.Unknown, fmt.Sprintf("tell %s: %v", cmd.Args().First(), err))
	}
	if cmd.Bool("json") {
		_ = json.NewEncoder(cmd.Root().Writer).Encode(result)
	} else if w.StatusCode == http.StatusOK {
		fmt.Fprintf(cmd.Root().Writer, "revision %d: %s\n", result.Revision, result.Result)
	}
	return outcome(w.StatusCode, result.Result)
}

func post(ctx context.Context, cmd *cli.Command) (*http.Response, error) {
	op := cmd.String("op")
	if op == "" {
		op = rand.Text()
	}
	query := url.Values{}
	query.Set("op", op)
	if cmd.IsSet("revision") {
		query.Set("revision", strconv.FormatUint(cmd.Uint64("revision"), 10))
	}
	client, base, err := tool.Client(cmd, cmd.Args().First())
	if err != nil {
		return nil, err
	}
	target := base + "/tell?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(cmd.Args().Get(1))))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	return client.Do(r)
}

func outcome(status int, text string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return tool.New(tool.Unknown, text)
	}
	return tool.New(tool.Refused, text)
}

package cmds_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"anvilstand/cmds"
	"anvilstand/cmds/tool"
)

// run runs the command line and returns its output and exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	root := cmds.Root()
	root.Writer, root.ErrWriter = &out, &out
	err := root.Run(context.Background(), append([]string{"anvilstand"}, args...))
	var exit *tool.Error
	switch {
	case err == nil:
		return out.String(), tool.ExitOK
	case errors.As(err, &exit):
		return out.String() + err.Error(), exit.Code()
	}
	return out.String() + err.Error(), tool.ExitRefused
}

// TestTellAndAsk checks output and exit code for the answers of a daemon.
func TestTellAndAsk(t *testing.T) {
	cases := map[string]struct {
		status  int
		answer  string
		command []string
		code    int
		want    string
	}{
		"accepted":          {status: 200, answer: `{"revision":7,"result":"accepted"}`, command: []string{"tell"}, want: "revision 7: accepted"},
		"as JSON":           {status: 200, answer: `{"revision":7,"result":"accepted"}`, command: []string{"tell", "--json"}, want: `{"revision":7,"result":"accepted"}`},
		"conflict":          {status: 409, answer: `{"revision":7,"result":"conflict"}`, command: []string{"tell"}, code: 1, want: "conflict"},
		"store unavailable": {status: 503, answer: `{"revision":0,"result":"store is away"}`, command: []string{"tell"}, code: 1},
		"unknown":           {status: 502, answer: `{"revision":7,"result":"outcome unknown"}`, command: []string{"tell"}, code: 3},
		"broken answer":     {status: 200, answer: `{"revis`, command: []string{"tell"}, code: 3},
		"answer":            {status: 200, answer: `{"columns":["org","rate"],"rows":[["acme","5"]]}`, command: []string{"ask"}, want: "org   rate\nacme  5"},
		"bad query":         {status: 400, answer: `{"result":"column 1"}`, command: []string{"ask"}, code: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer key-of-ana" {
					tc.status = http.StatusUnauthorized
				}
				w.WriteHeader(tc.status)
				fmt.Fprintln(w, tc.answer)
			}))
			defer server.Close()
			args := append(tc.command, "--key", "key-of-ana", strings.TrimPrefix(server.URL, "http://"), "orgs")
			out, code := run(args...)
			if diff := cmp.Diff(tc.code, code); diff != "" {
				t.Error(diff, out)
			}
			if !strings.Contains(out, tc.want) {
				t.Errorf("printed %q, want %q", out, tc.want)
			}
		})
	}
}

func TestTellUnreachable(t *testing.T) {
	if _, code := run("tell", "127.0.0.1:1", "in domain north"); code != tool.ExitUnknown {
		t.Error(code)
	}
}

func TestCheck(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "faulty.json")
	if err := os.WriteFile(invalid, []byte("{\n\"colour\": 1}"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		file string
		code int
		want string
	}{
		"example":      {file: "../examples/pilha.json", want: "no faults"},
		"invalid":      {file: invalid, code: 1, want: "line 2: colour: unknown"},
		"no such file": {file: "absent.json", code: 1, want: "no such file"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out, code := run("check", tc.file)
			if code != tc.code || !strings.Contains(out, tc.want) {
				t.Errorf("exit %d, printed %q, want %d and %q", code, out, tc.code, tc.want)
			}
		})
	}
}

// TestManPages checks that each subcommand has a manual page and an example in
// its help.
func TestManPages(t *testing.T) {
	for _, c := range cmds.Root().Commands {
		text, err := os.ReadFile("../docs/man/" + c.Name + ".md")
		if err != nil {
			t.Error(err)
		}
		if !strings.Contains(string(text), "anvilstand "+c.Name) {
			t.Error(c.Name, "is not used in its manual page")
		}
		if !strings.Contains(c.UsageText, "anvilstand "+c.Name) {
			t.Error(c.Name, "has no example in its help")
		}
	}
}

// TestExplain looks up requests that are in a saved log and one that is not.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	const text = `{"@module":"a","@timestamp":"2026-12-04T10:00:00Z","@message":"request","id":"r","step":"refuse","reason":"shed","run":"not","wait":100}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"found":     {args: []string{"r", file}, want: "a: refuse reason=shed run=not wait=100\ncause: refused at a: shed; it did not run\n"},
		"not found": {args: []string{"q", file}, code: tool.ExitRefused, want: "explain: no log line is of request q; read 1 lines of requests and 0 lines that are not JSON of a daemon's log"},
		"no id":     {code: tool.ExitRefused, want: "explain: expected ID [FILE...]"},
		"no file":   {args: []string{"r", file + "x"}, code: tool.ExitRefused, want: "explain: open " + file + "x: no such file or directory"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			out, code := run(append([]string{"explain"}, tc.args...)...)
			if diff := cmp.Diff(tc.want, out); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.code, code); diff != "" {
				t.Error(diff)
			}
		})
	}
}

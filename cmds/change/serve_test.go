package change

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/prefs"
)

const testSettings = `{"name": "a", "domain": "d", "service": "s", "front": "127.0.0.1:0", "peer": "127.0.0.1:0",
	"oper": "127.0.0.1:0", "target": "http://127.0.0.1:1", "store": "http://127.0.0.1:1", "secret": "peer-secret",
	"operators": {"ana": "oper-secret"}, "grace": 1, "settle": 0}`

// logBuffer collects a log that tests read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// TestReload sends a SIGHUP to a daemon. It must keep running and log the result
// of reading the settings again.
func TestReload(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unchanged":       {text: testSettings, want: "changed=false"},
		"changed":         {text: strings.Replace(testSettings, `"grace": 1`, `"grace": 2`, 1), want: "changed=true"},
		"invalid":         {text: `{"name": 1}`, want: "settings refused"},
		"file is missing": {want: "settings not read"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings")
			if tc.text != "" {
				if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p, err := prefs.Parse([]byte(testSettings))
			if err != nil {
				t.Fatal(err)
			}
			var out logBuffer
			log := hclog.New(&hclog.LoggerOptions{Output: &out})
			d, err := newDaemon(p, log)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			var g errgroup.Group
			reloads := make(chan os.Signal, 1)
			signal.Notify(reloads, syscall.SIGHUP)
			defer signal.Stop(reloads)
			g.Go(func() error { return runDaemon(ctx, d, log, file, reloads) })
			for end := time.Now().Add(5 * time.Second); !out.has("serving"); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no log line \"serving\" within 5 s")
				}
			}
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(5 * time.Second); !out.has(tc.want); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no %q in the log within 5 s", tc.want)
				}
			}
			stop()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

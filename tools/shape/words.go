package main

import (
	"fmt"
	"go/token"
	"path/filepath"
	"strings"
)

// platformWords are names of the users' platform: headers, fields, paths and
// keys. Only the folder that translates may know them.
var platformWords = []string{
	"X-Attempt-Id", "X-Deadline-Ms", "X-Credential", "X-Tenant", "X-Caller-Service", "X-Expect-Instance",
	"X-Not-Executed", "X-Response-Seal", "X-Server-Load", "X-Instance-Id", "X-Warmup-Ms",
	"pathPrefix", "maxAttempts", "targetLatency", "noAuth", "apiKeys", "ratePerS", "warmupPerS", "warmupLeft",
	"heartbeatAddr", "healthPath", "maxConnections", "allowStale", "waitMs", "kv-key", "kv-range", "kv-watch",
	"kv-txn", "kv-lease", "op/config", "op/evacuate", "ANVILSTAND_BOOT",
}

// folders in which the platform's words may stand.
var wordFolders = []string{"platform", "tools/shape"}

// words looks for the platform's words in a file of another folder.
func (c *checker) words(path string, text []byte, base token.Pos) {
	slashed := filepath.ToSlash(path)
	for _, folder := range wordFolders {
		if strings.HasPrefix(slashed, folder+"/") || strings.Contains(slashed, "/"+folder+"/") {
			return
		}
	}
	for _, word := range platformWords {
		if i := strings.Index(string(text), word); i >= 0 {
			at := c.files.Position(base + token.Pos(i))
			c.found = append(c.found, fmt.Sprintf("%s: %s is a name of the platform, which only platform/ knows", at, word))
		}
	}
}

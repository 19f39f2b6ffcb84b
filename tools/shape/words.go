package main

import (
	"fmt"
	"go/token"
	"path/filepath"
	"strings"
)

// platformWords are names of the users' platform: headers, fields, paths and keys.
// Only the folders in platformFolders may have them.
var platformWords = []string{
	"X-Attempt-Id", "X-Deadline-Ms", "X-Credential", "X-Tenant", "X-Caller-Service", "X-Expect-Instance",
	"X-Not-Executed", "X-Response-Seal", "X-Server-Load", "X-Instance-Id", "X-Warmup-Ms",
	"pathPrefix", "maxAttempts", "targetLatency", "noAuth", "apiKeys", "ratePerS", "warmupPerS", "warmupLeft",
	"heartbeatAddr", "healthPath", "maxConnections", "allowStale", "waitMs", "kv-key", "kv-range", "kv-watch",
	"kv-txn", "kv-lease", "op/config", "op/evacuate", "ANVILSTAND_BOOT",
}

// platformFolders are the folders that may have names of the platform.
var platformFolders = []string{"platform", "tools/shape"}

// checkWords reports names of the platform in a file outside platformFolders, the
// first use of each. The parameter base is the position of the start of the file.
func (c *checker) checkWords(path string, text []byte, base token.Pos) {
	slashed := filepath.ToSlash(path)
	for _, folder := range platformFolders {
		if strings.HasPrefix(slashed, folder+"/") || strings.Contains(slashed, "/"+folder+"/") {
			return
		}
	}
	for _, word := range platformWords {
		if offset := strings.Index(string(text), word); offset >= 0 {
			pos := c.fset.Position(base + token.Pos(offset))
			c.violations = append(c.violations, fmt.Sprintf("%s: %s is a name of the platform, which only platform/ knows", pos, word))
		}
	}
}

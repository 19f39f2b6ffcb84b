package query

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"anvilstand/io/codec"
)

// Release is the version of this release.
const Release = "0.1.0"

// Version is the subcommand that prints the release, the version of the protocol
// between daemons, and the Go version.
var Version = &cli.Command{
	Name:      "version",
	Usage:     "print the release, the protocol and the Go version",
	UsageText: "anvilstand version",
	Action:    version,
}

func version(_ context.Context, cmd *cli.Command) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "anvilstand %s, protocol %d, %s\n", Release, codec.Version, goVersion)
	return err
}

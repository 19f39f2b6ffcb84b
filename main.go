// Anvilstand is an overload control layer for service call graphs.
package main

import (
	"context"
	"os"

	"anvilstand/cmds"
)

func main() { os.Exit(cmds.Run(context.Background(), os.Args)) }

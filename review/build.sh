#!/usr/bin/env bash
# Builds the stand-ins of all cases. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/stand ./review/platform

#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/standin3 ./review/third/platform

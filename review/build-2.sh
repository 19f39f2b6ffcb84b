#!/usr/bin/env bash
# Builds the stand-ins of the second review. The daemons are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-2 ./review/second/platform

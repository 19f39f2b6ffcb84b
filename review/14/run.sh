#!/usr/bin/env bash
exec "$(dirname "$0")/../third/case.sh" tenant "$(dirname "$0")"

#!/usr/bin/env bash
exec "$(dirname "$0")/../third/case.sh" lost "$(dirname "$0")"

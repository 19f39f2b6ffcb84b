#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/stand ] || [ ! -x target/anvilstand ]; then
	echo "target/stand or target/anvilstand is missing: run the build of the deploy file and review/build.sh" >&2
	exit 2
fi
exec timeout -k 3 115 target/stand forgotten review/4/record.txt

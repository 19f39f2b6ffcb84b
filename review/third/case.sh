#!/usr/bin/env bash
# Plays one case: starts the stand-ins, and the daemons as the deploy file does, starts
# daemons that end again, and ends all of them. Usage: case.sh NAME FOLDER
set -u
name=$1
out=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/anvilstand ] || [ ! -x target/standin3 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
	exit 2
fi
tmp=$(mktemp -d) || exit 2
daemons=()
play=

# run_daemon runs the daemon of a machine, again when it ends, until the case is over or the
# machine is gone.
run_daemon() {
	local pid=
	trap '[ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null; exit 0' TERM
	while [ ! -e "$tmp/over" ] && [ ! -e "$tmp/$1.gone" ]; do
		ANVILSTAND_BOOT=$tmp/$1.conf target/anvilstand serve --json --memory 284 >>"$tmp/$1.log" 2>&1 &
		pid=$!
		echo "$pid" >"$tmp/$1.pid"
		wait "$pid"
		pid=
		sleep 0.5
	done
}

finish() {
	touch "$tmp/over"
	for d in ${daemons[@]+"${daemons[@]}"}; do kill -TERM "$d" 2>/dev/null; done
	[ -n "$play" ] && kill -KILL "$play" 2>/dev/null
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp "$tmp"/*.log "$KEEP"/
	rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' TERM INT

target/standin3 "$name" "$tmp" >"$out/record.txt" 2>&1 &
play=$!
# The stand-in names the daemons to start in the files daemons1, daemons2 and so on.
wave=1
while kill -0 "$play" 2>/dev/null; do
	if [ -e "$tmp/daemons$wave" ]; then
		while read -r d; do
			run_daemon "$d" 2>/dev/null &
			daemons+=($!)
		done <"$tmp/daemons$wave"
		wave=$((wave + 1))
	fi
	sleep 0.05
done
wait "$play"
code=$?
play=
tail -n 2 "$out/record.txt"
exit "$code"

#!/usr/bin/env bash
# Plays one case of the second review: starts the daemons of a small deployment on loopback
# addresses, with the command and the template of the deploy file, and a stand-in of the
# platform, the targets and the clients. Exit codes: 0 held, 1 broken, 2 not run.
# usage: case.sh CASE RECORD MACHINE... (NAME,SERVICE,ZONE)
set -u
play=$1 record=$2
shift 2
cd "$(dirname "$0")/../.." || exit 2
[ -x target/anvilstand ] && [ -x target/review-2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
tmp=$(mktemp -d) || exit 2
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
stand=
supervisors=()
# Ends all that was started, by process id.
finish() {
	touch "$tmp/stop"
	[ -n "$stand" ] && kill -KILL "$stand" 2>/dev/null
	for s in "${supervisors[@]}"; do
		while kill -0 "$s" 2>/dev/null; do
			for file in "$tmp"/*.pid; do
				[ -s "$file" ] && kill -KILL "$(<"$file")" 2>/dev/null
			done
			sleep 0.1
		done
	done
	wait
	rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' TERM INT

# Fills in the template of the settings as the platform does.
settings() { # name ip service zone
	sed -e "s|{{node}}|$1|; s|{{zone}}|$4|; s|{{service}}|$3|; s|{{ip}}|$2|; s|{{appAddr}}|$2:8547|" \
		-e "s|{{listen.outbound}}|$2:8548|; s|{{listen.inbound}}|$2:8543|" \
		-e "s|{{listen.ready}}|$2:8546|; s|{{listen.control}}|$2:8540|; s|{{platform.address}}|$net.1:8545|" \
		-e "s|{{bounds.grace}}|6s|; s|{{bounds.quotaExcess}}|0.1|; s|{{bounds.quotaSlack}}|20|; s|{{bounds.quotaWindow}}|5s|" \
		deploy/settings.hujson >"$tmp/$1.conf"
}

# Runs a daemon, and starts it again 0.5 s after its end, until the case is over.
supervise() { # name
	while [ ! -e "$tmp/stop" ]; do
		ANVILSTAND_BOOT=$tmp/$1.conf target/anvilstand serve --json --memory 284 >>"$tmp/$1.log" 2>&1 &
		echo $! >"$tmp/$1.pid"
		wait $!
		rm -f "$tmp/$1.pid"
		sleep 0.5
	done
}

machines=() i=1
for m in "$@"; do
	IFS=, read -r name service zone <<<"$m"
	i=$((i + 1))
	settings "$name" "$net.$i" "$service" "$zone"
	machines+=("$name,$net.$i,$service,$zone")
done
target/review-2 "$play" "$tmp" "$record" "$net.1" "${machines[@]}" &
stand=$!
sleep 0.3
for m in "$@"; do
	supervise "${m%%,*}" &
	supervisors+=($!)
done
wait "$stand"
code=$?
stand=
[ -n "${KEEP:-}" ] && cp "$tmp"/*.log "$KEEP"/
exit "$code"

#!/bin/sh
# Start Arusha on loopback, run one sizing program, show what happened, and end every process.
set -eu

python="${PYTHON:-python3}"
root="$(cd "$(dirname "$0")/.." && pwd)"
demo="$root/samples/demo"
logs="$(mktemp -d)"
pids=""

finish() {
    for pid in $pids; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in $pids; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$logs"
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
    name="$1"
    shift
    "$python" -m "$@" >"$logs/$name.log" 2>&1 &
    pids="$pids $!"
}

ferry() {
    "$python" -m skylarkferry_client "$@"
}

wait_for() {
    echo "waiting for $1"
    shift
    tries=0
    until "$@" >"$logs/wait.out" 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            cat "$logs/wait.out" "$logs"/*.log >&2
            exit 1
        fi
        sleep 0.2
    done
}

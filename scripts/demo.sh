#!/bin/sh
# Starts the Arusha demo on loopback, runs one sizing program, shows its calls and events, and stops
# every process.
set -eu

python="${PYTHON:-python3}"
root="$(cd "$(dirname "$0")/.." && pwd)"
demo="$root/samples/demo"
logs="$(mktemp -d)"
pids=""
upstreams=5

finish() {
    for pid in $pids; do
        kill -TERM "$pid" 2>/dev/null || true
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

client() {
    "$python" -m skylarkferry_client "$@"
}

wait_for() {
    what="$1"
    shift
    tries=0
    until "$@" >"$logs/wait.out" 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 200 ]; then
            echo "timed out waiting for $what" >&2
            tail -n 20 "$logs"/*.out "$logs"/*.log >&2
            exit 1
        fi
        sleep 0.2
    done
}

all_upstreams_live() {
    live="$(client hosts --url "$1" --json | grep -o '"live"' | wc -l)"
    [ "$live" -eq "$upstreams" ]
}

echo "== start one platform, three engines, two services, their sidecars and two entries"
start platform skylarkferry_standins platform --listen 127.0.0.1:7400 --hosts "$demo/hosts.json"
for number in 1 2 3; do
    start "calc-models-$number" skylarkferry_standins engine --listen "127.0.0.1:745$number"
done
start shop-tools-1 skylarkferry_standins service --listen 127.0.0.1:7454
start shop-apps-1 skylarkferry_standins service --listen 127.0.0.1:7455
for upstream in calc-models-1 calc-models-2 calc-models-3 shop-tools-1 shop-apps-1; do
    start "sidecar-$upstream" skylarkferry_daemon serve "$demo/sidecar-$upstream.jsonc"
done
for number in 1 2; do
    start "entry-$number" skylarkferry_daemon serve "$demo/entry-$number.jsonc"
done

first=http://127.0.0.1:7401
second=http://127.0.0.1:7402
export SKYLARKFERRY_URL="$first,$second" COLUMNS=160
bootstrap=bootstrap-demo-token
operator=operators-demo-token
caller=gearworks-demo-token

wait_for "the entries" client config get --token "$bootstrap"
echo "== write the first configuration document"
client config init "$demo/document" --token "$bootstrap"
export SKYLARKFERRY_TOKEN="$operator"
wait_for "the first entry to see the upstreams" all_upstreams_live "$first"
wait_for "the second entry to see the upstreams" all_upstreams_live "$second"
client hosts

echo "== run a sizing program"
view="$(client run "$demo/program.jsonc" --token "$caller" --json)"
program="$(echo "$view" | sed 's/.*"program_id":"\([^"]*\)".*/\1/')"

echo "== the answer"
client answer "$program" --token "$caller"
echo "== the outcome of each call"
client show "$program" --token "$caller"
echo "== the timeline of all processes"
client timeline --program "$program"

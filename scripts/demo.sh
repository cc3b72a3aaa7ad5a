#!/usr/bin/env bash
# Runs the whole path with plain processes on loopback, kills a daemon in the middle, and checks
# that every request got its own whole answer or a truthful error, and that every job ran once.
set -u
cd "$(dirname "$0")/.." || exit 1

cargo build --quiet --workspace --bins || exit 1
bin="${CARGO_TARGET_DIR:-target}/debug"
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
fail() {
    echo "FAILED: $*" >&2
    tail -n 5 "$work"/*.err >&2
    exit 1
}

# Starts a program in the background and waits for the line that tells where it listens.
# Sets $pid and $line.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pid=$!
    pids+=("$pid")
    for _ in $(seq 1 200); do
        [ -s "$work/$name.out" ] && break
        kill -0 "$pid" 2>/dev/null || fail "$name ended: $(cat "$work/$name.err")"
        sleep 0.05
    done
    line=$(head -n 1 "$work/$name.out")
    [ -n "$line" ] || fail "$name did not start"
}
field() { sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/" <<<"$line"; }
addresses() { grep -oE '127\.0\.0\.1:[0-9]+' <<<"$line"; }

echo "1. The platform's stand-ins: a store, an instance list, 4 workers in 2 racks, 4 runners."
start store "$bin/persimmonshift-standin" store
store=$(field store)
start instances "$bin/persimmonshift-standin" instances --lag-ms 200
instances=$(field instances)
start workers "$bin/persimmonshift-standin" worker --instances "$instances" --count 4 --per-rack 2
workers=$(addresses)
start runners "$bin/persimmonshift-standin" runner --instances "$instances" --service booking --count 4
runners=$(addresses)

echo "2. Three daemons, with keys of their own."
export PERSIMMONSHIFT_TOKEN="demo-token-of-this-run-$$"
"$bin/persimmonshift" keys create --out "$work" --member d1 --member d2 --member d3 >/dev/null ||
    fail "keys"
daemons=()
daemon_pids=()
for id in d1 d2 d3; do
    start "$id" "$bin/persimmonshiftd" --member-id "$id" --data-centre dc1 --store "$store" \
        --instances "$instances" --mesh-authorities "$work/authority.pem" \
        --mesh-certificate "$work/$id.pem" --mesh-private-key "$work/$id.key" \
        --shard-count 2 --lease-term-ms 4000 --sync-interval-ms 300 --drain-notice-ms 200
    daemons+=("$(field api)")
    daemon_pids+=("$pid")
done
tool() { "$bin/persimmonshift" --daemon "$daemon" "$@"; }

echo "3. An operator applies change ticket 1 through the first daemon."
daemon=${daemons[0]}
for _ in $(seq 1 50); do
    tool ticket apply examples/foundation.toml >"$work/ticket" 2>"$work/ticket.err" && break
    sleep 0.2
done
grep -q "in force everywhere" "$work/ticket" || fail "ticket: $(cat "$work/ticket" "$work/ticket.err")"
cat "$work/ticket"
for _ in $(seq 1 100); do
    daemon=${daemons[1]} tool status >"$work/status" 2>&1
    [ "$(grep -c " live " "$work/status")" = 4 ] && break
    sleep 0.1
done
cat "$work/status"

echo "4. Callers send requests to all daemons, and batch jobs are submitted; a daemon is killed."
drive=()
for address in "${daemons[@]}"; do drive+=(--daemon "$address"); done
for address in $runners; do drive+=(--runner "$address"); done
"$bin/persimmonshift-load" drive --service booking --rate 150 --seconds 6 "${drive[@]}" \
    >"$work/load" 2>"$work/load.err" &
load=$!
submit() {
    # A repeat with the same key is the same job, so it may be tried at any daemon.
    for _ in $(seq 1 60); do
        for daemon in "${daemons[@]}"; do
            tool job submit --class calendar-merge --key "$1" --due-in-s 120 \
                >/dev/null 2>"$work/submit.err" && return 0
        done
        sleep 0.2
    done
    fail "job $1 was not accepted: $(cat "$work/submit.err")"
}
for number in $(seq 1 6); do submit "merge-$number"; done
kill -KILL "${daemon_pids[0]}" && echo "   daemon d1 was killed with SIGKILL"
for number in $(seq 7 12); do submit "merge-$number"; done
submit merge-1 # a repeat, which must not be a second job
wait "$load"
load_code=$?
cat "$work/load"
[ "$load_code" = 0 ] || fail "requests: $(tail -n 5 "$work/load.err")"

echo "5. All jobs complete, each exactly once."
daemon=${daemons[1]}
for _ in $(seq 1 150); do
    tool job list --state done >"$work/jobs" 2>"$work/jobs.err"
    [ "$(grep -c " done " "$work/jobs")" = 12 ] && break
    sleep 0.2
done
cat "$work/jobs"
[ "$(grep -c " done " "$work/jobs")" = 12 ] || fail "jobs: $(tool job list)"
ran=0
for address in $workers; do
    count=$(curl -sS "http://$address/control/runs" | grep -o '"ended_as":"done"' | wc -l)
    ran=$((ran + count))
done
[ "$ran" = 12 ] || fail "12 jobs, but $ran runs completed on the workers"
echo "   12 jobs, 12 completed runs"

echo "6. A second daemon is stopped with SIGTERM; the third serves on."
kill -TERM "${daemon_pids[1]}"
wait "${daemon_pids[1]}"
[ $? = 0 ] || fail "d2 did not stop gracefully"
daemon=${daemons[2]}
"$bin/persimmonshift-load" drive --service booking --rate 50 --seconds 1 --daemon "$daemon" \
    2>/dev/null || fail "requests after the stop"
submit merge-after || fail "submission after the stop"
tool report burn
echo "DONE: every request got its own whole answer or a truthful error, and every job ran once."

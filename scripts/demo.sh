#!/usr/bin/env bash
# Runs a cluster on loopback under load, kills a daemon meanwhile, and checks that every request got
# its complete response or an error that says correctly whether the request ran, and that every job
# ran exactly once.
set -u
cd "$(dirname "$0")/.." || exit 1

cargo build --quiet --workspace --bins || exit 1
bin="${CARGO_TARGET_DIR:-target}/debug"
work_dir=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work_dir"
}
trap cleanup EXIT
fail() {
    echo "FAILED: $*" >&2
    tail -n 5 "$work_dir"/*.err >&2
    exit 1
}

# Starts a program in the background and waits for the line of JSON with its listening addresses.
# Sets $pid and $line.
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
    pid=$!
    pids+=("$pid")
    for _ in $(seq 1 200); do
        [ -s "$work_dir/$name.out" ] && break
        kill -0 "$pid" 2>/dev/null || fail "$name exited: $(cat "$work_dir/$name.err")"
        sleep 0.05
    done
    line=$(head -n 1 "$work_dir/$name.out")
    [ -n "$line" ] || fail "$name did not start"
}
field() { sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/" <<<"$line"; }
addresses() { grep -oE '127\.0\.0\.1:[0-9]+' <<<"$line"; }

echo "1. Starting the stand-ins: a store, an instance list, 4 workers in 2 racks, 4 runners."
start store "$bin/persimmonshift-standin" store
store=$(field store)
start instances "$bin/persimmonshift-standin" instances --lag-ms 200
instances=$(field instances)
start workers "$bin/persimmonshift-standin" worker --instances "$instances" --count 4 --per-rack 2
workers=$(addresses)
start runners "$bin/persimmonshift-standin" runner --instances "$instances" --service booking --count 4
runners=$(addresses)

echo "2. Creating keys and starting three daemons."
export PERSIMMONSHIFT_TOKEN="demo-token-of-this-run-$$"
"$bin/persimmonshift" keys create --out "$work_dir" --member d1 --member d2 --member d3 >/dev/null ||
    fail "keys"
daemons=()
daemon_pids=()
for id in d1 d2 d3; do
    start "$id" "$bin/persimmonshiftd" --member-id "$id" --data-centre dc1 --store "$store" \
        --instances "$instances" --mesh-authorities "$work_dir/authority.pem" \
        --mesh-certificate "$work_dir/$id.pem" --mesh-private-key "$work_dir/$id.key" \
        --shard-count 2 --lease-term-ms 4000 --sync-interval-ms 300 --drain-notice-ms 200
    daemons+=("$(field api)")
    daemon_pids+=("$pid")
done
tool() { "$bin/persimmonshift" --daemon "$daemon" "$@"; }

echo "3. Applying change ticket 1 through the first daemon."
daemon=${daemons[0]}
for _ in $(seq 1 50); do
    tool ticket apply examples/foundation.toml >"$work_dir/ticket" 2>"$work_dir/ticket.err" && break
    sleep 0.2
done
grep -q "in force everywhere" "$work_dir/ticket" || fail "ticket: $(cat "$work_dir/ticket" "$work_dir/ticket.err")"
cat "$work_dir/ticket"
for _ in $(seq 1 100); do
    daemon=${daemons[1]} tool status >"$work_dir/status" 2>&1
    [ "$(grep -c " live " "$work_dir/status")" = 4 ] && break
    sleep 0.1
done
cat "$work_dir/status"

echo "4. Sending requests to all daemons and submitting batch jobs; a daemon is killed meanwhile."
drive_args=()
for address in "${daemons[@]}"; do drive_args+=(--daemon "$address"); done
for address in $runners; do drive_args+=(--runner "$address"); done
"$bin/persimmonshift-load" drive --service booking --rate 150 --seconds 6 "${drive_args[@]}" \
    >"$work_dir/load" 2>"$work_dir/load.err" &
load_pid=$!
submit() {
    # A submission is idempotent by its key, so it can be retried at any daemon.
    for _ in $(seq 1 60); do
        for daemon in "${daemons[@]}"; do
            tool job submit --class calendar-merge --key "$1" --due-in-s 120 \
                >/dev/null 2>"$work_dir/submit.err" && return 0
        done
        sleep 0.2
    done
    fail "job $1 was not accepted: $(cat "$work_dir/submit.err")"
}
for number in $(seq 1 6); do submit "merge-$number"; done
kill -KILL "${daemon_pids[0]}" && echo "   daemon d1 was killed with SIGKILL"
for number in $(seq 7 12); do submit "merge-$number"; done
submit merge-1 # resubmitted: must not create a second job
wait "$load_pid"
load_status=$?
cat "$work_dir/load"
[ "$load_status" = 0 ] || fail "requests: $(tail -n 5 "$work_dir/load.err")"

echo "5. Waiting until each job has completed exactly once."
daemon=${daemons[1]}
for _ in $(seq 1 150); do
    tool job list --state done >"$work_dir/jobs" 2>"$work_dir/jobs.err"
    [ "$(grep -c " done " "$work_dir/jobs")" = 12 ] && break
    sleep 0.2
done
cat "$work_dir/jobs"
[ "$(grep -c " done " "$work_dir/jobs")" = 12 ] || fail "jobs: $(tool job list)"
completed_runs=0
for address in $workers; do
    count=$(curl -sS "http://$address/control/runs" | grep -o '"ended_as":"done"' | wc -l)
    completed_runs=$((completed_runs + count))
done
[ "$completed_runs" = 12 ] || fail "12 jobs were submitted, but $completed_runs runs completed on the workers"
echo "   12 jobs, 12 completed runs"

echo "6. Stopping a second daemon with SIGTERM; the third continues to serve."
kill -TERM "${daemon_pids[1]}"
wait "${daemon_pids[1]}"
[ $? = 0 ] || fail "d2 did not shut down gracefully"
daemon=${daemons[2]}
"$bin/persimmonshift-load" drive --service booking --rate 50 --seconds 1 --daemon "$daemon" \
    2>/dev/null || fail "requests after the shutdown of d2"
submit merge-after || fail "submission after the shutdown of d2"
tool report burn
echo "DONE: every request got its complete response or an accurate error, and every job ran once."

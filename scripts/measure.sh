#!/usr/bin/env bash
# Measures the resource usage of each daemon of a cluster on loopback, idle and under load, and
# optionally the latencies of one scenario.
# usage: scripts/measure.sh DAEMONS WORKERS JOBS_PER_S SECONDS [tickets|takeover|drain|cut|leaving]
set -u
cd "$(dirname "$0")/.." || exit 1
daemons=$1 workers=$2 rate=$3 seconds=$4 scenario=${5:-}
cargo build --quiet --release --workspace --bins || exit 1
bin="${CARGO_TARGET_DIR:-target}/release"
work_dir=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work_dir"
}
trap cleanup EXIT
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
    pid=$!
    pids+=("$pid")
    for _ in $(seq 1 400); do
        [ -s "$work_dir/$name.out" ] && break
        sleep 0.05
    done
    line=$(head -n 1 "$work_dir/$name.out")
}
field() { sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/" <<<"$line"; }

start store "$bin/persimmonshift-standin" store
store=$(field store)
start instances "$bin/persimmonshift-standin" instances --lag-ms 200
instances=$(field instances)
start workers "$bin/persimmonshift-standin" worker --instances "$instances" --count "$workers"
worker_args=()
for address in $(grep -oE '127\.0\.0\.1:[0-9]+' <<<"$line"); do worker_args+=(--worker "$address"); done
export PERSIMMONSHIFT_TOKEN="measure-token-$$-of-this-run"
ids=()
for number in $(seq 1 "$daemons"); do ids+=(--member "e$number"); done
"$bin/persimmonshift" keys create --out "$work_dir" "${ids[@]}" >/dev/null || exit 1
apis=() daemon_args=() daemon_pids=()
start relay "$bin/persimmonshift-standin" relay --tcp "$store"
relay_control=$(field control)
relayed_store=$(sed -E 's/.*"tcp":\["([^"]*)"\].*/\1/' <<<"$line")
if [ "$scenario" = leaving ]; then
    start runners "$bin/persimmonshift-standin" runner --instances "$instances" --service booking --count 8
    runners=($(grep -oE '127\.0\.0\.1:[0-9]+' <<<"$line"))
fi
for number in $(seq 1 "$daemons"); do
    id="e$number"
    store_address=$store
    # The last daemon reaches the store through a relay, which the scenario "cut" cuts.
    [ "$number" = "$daemons" ] && store_address=$relayed_store
    start "$id" "$bin/persimmonshiftd" --member-id "$id" --data-centre "dc$((number % 4))" \
        --store "$store_address" --instances "$instances" --mesh-authorities "$work_dir/authority.pem" \
        --mesh-certificate "$work_dir/$id.pem" --mesh-private-key "$work_dir/$id.key"
    apis+=("$(field api)")
    daemon_args+=(--daemon "$(field api)")
    daemon_pids+=("$pid")
done
tool() { "$bin/persimmonshift" --daemon "${apis[0]}" "$@"; }
for _ in $(seq 1 100); do
    tool ticket apply examples/measure.toml 2>/dev/null | grep -q "in force everywhere" && break
    sleep 0.2
done
for _ in $(seq 1 200); do
    [ "$(tool status 2>/dev/null | grep -c ' live ')" = "$workers" ] && break
    sleep 0.2
done
sleep 4 # shards are reassigned once while daemons join

metric() { awk -v name="persimmonshift_$1" '$1 == name { print $2 }' <<<"$2"; }
snapshot() { for api in "${apis[@]}"; do curl -sS "http://$api/metrics" | tr '\n' '\036'; echo; done; }
counters() { curl -sS "http://$store/control/counters"; }
counter() { sed -E "s/.*\"$1\":([0-9]+).*/\1/" <<<"$2"; }
# Prints the usage between two snapshots: the mean and the maximum over all daemons, and the calls
# that the store served.
report_usage() {
    local label=$1 span=$2 before=$3 after=$4 calls_before=$5 calls_after=$6
    paste -d $'\037' <(echo "$before") <(echo "$after") | awk -v label="$label" -v span="$span" '
        function value(text, name,   lines, n, i, parts) {
            n = split(text, lines, "\036")
            for (i = 1; i <= n; i++) { split(lines[i], parts, " "); if (parts[1] == "persimmonshift_" name) return parts[2] }
            return 0
        }
        {
            split($0, both, "\037")
            cpu = (value(both[2], "process_cpu_seconds") - value(both[1], "process_cpu_seconds")) / span * 100
            rss = value(both[2], "process_resident_memory_bytes") / 1048576
            sent = value(both[2], "mesh_sent_bytes") - value(both[1], "mesh_sent_bytes")
            got = value(both[2], "mesh_received_bytes") - value(both[1], "mesh_received_bytes")
            bytes = (sent + got) / span / 1024
            store = (value(both[2], "store_calls") - value(both[1], "store_calls")) / span
            n++; cpus += cpu; rsss += rss; kbs += bytes; stores += store
            if (cpu > cpu_most) cpu_most = cpu
            if (rss > rss_most) rss_most = rss
            if (bytes > kb_most) kb_most = bytes
            if (store > store_most) store_most = store
        }
        END {
            printf "%s: a daemon: %.2f %% of a core (most %.2f), %.1f MB (most %.1f), mesh %.2f KB/s (most %.2f), store calls %.2f/s (most %.2f)\n", label, cpus / n, cpu_most, rsss / n, rss_most, kbs / n, kb_most, stores / n, store_most
        }'
    echo "$label: the store: $(awk -v a="$(counter writes "$calls_before")" -v b="$(counter writes "$calls_after")" -v s="$span" 'BEGIN { printf "%.1f", (b - a) / s }') writes/s, $(awk -v a="$(counter reads "$calls_before")" -v b="$(counter reads "$calls_after")" -v s="$span" 'BEGIN { printf "%.1f", (b - a) / s }') reads/s"
}
echo "daemons $daemons, workers $workers, jobs $rate/s for $seconds s"
before=$(snapshot) calls=$(counters)
sleep 10
after=$(snapshot) calls_after=$(counters)
report_usage idle 10 "$before" "$after" "$calls" "$calls_after"
if [ "$rate" -gt 0 ]; then
    before=$(snapshot) calls=$(counters)
    "$bin/persimmonshift-load" jobs --class task --rate "$rate" --seconds "$seconds" \
        "${daemon_args[@]}" "${worker_args[@]}" >"$work_dir/jobs" 2>&1 &
    load_pid=$!
    sleep "$seconds"
    after=$(snapshot) calls_after=$(counters)
    report_usage jobs "$seconds" "$before" "$after" "$calls" "$calls_after"
    wait "$load_pid"
    cat "$work_dir/jobs"
fi
if [ "$scenario" = tickets ]; then
    for number in $(seq 2 101); do
        sed "s/^number = 1$/number = $number/" examples/measure.toml >"$work_dir/t.toml"
        started_ns=$(date +%s%N)
        tool ticket apply "$work_dir/t.toml" | grep -q "in force everywhere" || echo "ticket $number: not in force"
        echo $((($(date +%s%N) - started_ns) / 1000000))
    done | sort -n >"$work_dir/times"
    echo "tickets in force on all after ms: p50 $(sed -n 50p "$work_dir/times"), p99 $(sed -n 99p "$work_dir/times"), max $(sed -n 100p "$work_dir/times")"
fi
# Waits until every shard has an owner other than $1.
wait_owned() {
    until status=$("$bin/persimmonshift" --timeout-ms 300 --daemon "${apis[0]}" --json status 2>/dev/null) &&
        ! grep -q "\"owner\": \"$1\"" <<<"$status" && grep -q '"missing_shards": \[\]' <<<"$status"; do
        sleep 0.02
    done
}
if [ "$scenario" = takeover ]; then
    for number in $(seq "$daemons" -1 $((daemons - 2))); do
        before=$(tool --json status | grep -c "\"owner\": \"e$number\"")
        started_ns=$(date +%s%N)
        kill -KILL "${daemon_pids[$((number - 1))]}"
        wait_owned "e$number"
        echo "killed e$number, which owned $before shards: all owned again after $((($(date +%s%N) - started_ns) / 1000000)) ms"
    done
fi

if [ "$scenario" = drain ]; then
    for number in "$daemons" $((daemons - 1)) $((daemons - 2)); do
        before=$(tool --json status | grep -c "\"owner\": \"e$number\"")
        started_ns=$(date +%s%N)
        kill -TERM "${daemon_pids[$((number - 1))]}"
        wait_owned "e$number"
        echo "stopped e$number, which owned $before shards: all owned again after $((($(date +%s%N) - started_ns) / 1000000)) ms"
    done
fi
if [ "$scenario" = cut ]; then
    curl -sS -X POST -d '{"cut":true}' "http://$relay_control/control" >/dev/null
    for number in $(seq 2 21); do
        sed "s/^number = 1$/number = $number/" examples/measure.toml >"$work_dir/t.toml"
        started_ns=$(date +%s%N)
        tool ticket apply "$work_dir/t.toml" | grep -q "in force everywhere" || echo "ticket $number: not in force"
        echo $((($(date +%s%N) - started_ns) / 1000000))
        sleep 0.3
    done | sort -n >"$work_dir/times"
    echo "one daemon cut from the store: tickets in force on all after ms: p50 $(sed -n 10p "$work_dir/times"), max $(tail -n 1 "$work_dir/times")"
fi
if [ "$scenario" = leaving ]; then
    executed() { curl -sS "http://${runners[0]}/control/executions" | grep -oE '"load-[0-9]+-[0-9]+":' | wc -l; }
    "$bin/persimmonshift-load" drive --service booking --rate 400 --seconds 8 "${daemon_args[@]}" >"$work_dir/drive" 2>/dev/null &
    load_pid=$!
    sleep 3
    curl -sS -X POST -d '{"id":"r0","state":"leaving"}' "http://$instances/control/state" >/dev/null
    executed_at_mark=$(executed)
    sleep 1
    executed_after_1s=$(executed)
    sleep 1
    executed_after_2s=$(executed)
    wait "$load_pid"
    echo "leaving endpoint: ran $executed_at_mark when marked, $((executed_after_1s - executed_at_mark)) in the next second, $((executed_after_2s - executed_after_1s)) in the one after, $(($(executed) - executed_after_2s)) later"
    cat "$work_dir/drive"
fi

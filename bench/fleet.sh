#!/usr/bin/env bash
# Starts a platform, WORKERS workers and MEMBERS members as processes on loopback,
# puts a configuration with POOLS pools in force, runs the given command with
# TARGETS (members) and DIRECT (workers) set, prints each member's processor
# time and memory, and ends the processes it started.
set -euo pipefail
members=${MEMBERS:-7} workers=${WORKERS:-50} pools=${POOLS:-5} settings=${SETTINGS:-}
bin=${BIN:-bin}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
"$bin/fulmarbench" platform --address 127.0.0.1:7000 >"$work/platform.log" 2>&1 &
pids+=($!)
"$bin/fulmarbench" worker --count "$workers" >"$work/workers.log" 2>&1 &
pids+=($!)
member_pids=()
targets=""
for i in $(seq "$members"); do
  cat >"$work/member-$i.jsonc" <<SETTINGS
{"member": "member-$i", "region": "region-1", "data_centre": "dc-$((1 + i % 4))",
 "callers": "127.0.0.1:$((7100 + i))", "operators": "127.0.0.1:$((7200 + i))", "peers": "127.0.0.1:$((7300 + i))",
 "platform": "http://127.0.0.1:7000" ${settings:+, $settings}}
SETTINGS
  "$bin/fulmardrumd" --settings "$work/member-$i.jsonc" >"$work/member-$i.log" 2>&1 &
  pids+=($!)
  member_pids+=($!)
  targets+="${targets:+,}127.0.0.1:$((7100 + i))"
done
names="" list=""
for i in $(seq "$pools"); do
  names+="${names:+, }\"pool-$i\": {\"vms\": $((workers / pools))}"
  list+="${list:+,}pool-$i"
done
echo "{\"pools\": {$names}, \"defaults\": {\"queue_requests\": ${QUEUE:-2000}, \"team_share\": 1}}" >"$work/fleet.jsonc"
export FULMARDRUM_MEMBER=http://127.0.0.1:7201
for _ in $(seq 50); do
  "$bin/fulmarctl" config get >/dev/null 2>&1 && break
  sleep 0.1
done
"$bin/fulmarctl" config apply -f "$work/fleet.jsonc" -r 'measurement' --wait >/dev/null 2>&1
sleep 3
export TARGETS=$targets POOL_NAMES=$list BIN=$bin
DIRECT=$(awk '/^worker/ {print $4}' "$work/workers.log" | paste -sd, -)
export DIRECT
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
before=0 after=0 rss=0
for pid in "${member_pids[@]}"; do before=$((before + $(ticks "$pid"))); done
start=$(date +%s%N)
"$@"
elapsed=$((($(date +%s%N) - start) / 1000000))
for pid in "${member_pids[@]}"; do
  after=$((after + $(ticks "$pid")))
  peak=$(awk '/VmHWM/ {print $2}' "/proc/$pid/status")
  rss=$((peak > rss ? peak : rss))
done
awk -v t=$((after - before)) -v e=$elapsed -v m="$members" -v r=$rss \
  'BEGIN {printf "members: %.1f s of processor time together in %.1f s, %.2f%% of a core each, highest peak memory %.1f MB\n", t/100, e/1000, t*1000/e/m, r/1024}'
curl -s http://127.0.0.1:7201/metrics | grep -E '_(retries|peer_bytes|peer_messages|platform_calls|claims)' || true
curl -s http://127.0.0.1:7000/standin/calls
echo

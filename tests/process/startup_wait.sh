#!/usr/bin/env bash
# startup_wait.sh PORT: starts one large and two small flow balancers of a zone,
# cuts their power and checks which of them are ready after their next start.
# Waits poll a condition; nothing depends on the speed of the machine, except
# that a round in which the large balancer starts too slowly is repeated.
set -uo pipefail
ROOT="$(cd "$(dirname "$0")/../.." && pwd)"
export CLUSTER_BASE_PORT="$1"
source "$ROOT/scripts/lib/cluster.sh"
trap stop_all EXIT
trap 'exit 130' INT TERM
PORT=$BASE
STORE="127.0.0.1:$((PORT + 50))"
declare -A INDEX=([small-1]=1 [small-2]=2 [large]=3)

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$WORK"/small-1.log >&2
  exit 1
}
ip() { echo "127.4.0.${INDEX[$1]}"; }

# power_on NAME: starts the balancer with a new log.
power_on() {
  local cores=0.1 mbps=10
  [ "$1" = large ] && cores=0.5 mbps=200
  cat >"$WORK/$1.toml" <<EOF
nodeName = "$1"
ip = "$(ip "$1")"
zone = "montreal"
portRange = [$((PORT + 10)),$((PORT + 20))]
[listen]
datagramAddr = "$(ip "$1"):$PORT"
readiness = "$(ip "$1"):$((PORT + 1))"
[limits]
cpuShare = $cores
linkMbps = $mbps
[platform]
address = "$STORE"
EOF
  rm -f "$WORK/$1.log"
  start "$1" "$BIN/packages/daemon/sesamesaddled" flow-balancer \
    --metrics-port 0 --settings "$WORK/$1.toml"
}
power_off_all() {
  local name
  for name in "${!INDEX[@]}"; do
    [ -n "${PIDS[$name]:-}" ] && kill -KILL "${PIDS[$name]}"
  done
  for name in "${!INDEX[@]}"; do stop "$name" KILL; done
}
ready() { http_get "$(ip "$1"):$((PORT + 1))" /v1/ready; }
logged() { grep -q "event=$2" "$WORK/$1.log"; }
waited_ms() { grep -o 'startup-wait-ends waited_ms=[0-9]*' "$WORK/$1.log" | cut -d= -f2; }
listed_in() { http_get "$(ip "$1"):$((PORT + 11))" /metrics | grep -q "^sesamesaddle_peers $2"; }
start_fleet() {
  local name
  for name in "${!INDEX[@]}"; do power_on "$name"; done
  for name in "${!INDEX[@]}"; do
    wait_until 30 ready "$name" || fail "$name is not ready"
    wait_until 30 listed_in "$name" 2 || fail "$name does not know the others"
  done
}

start store "$BIN/standins/standin_platform" --listen "$STORE"
routes='{"version":1,"routes":[],"services":[]}'
write="{\"precondition\":[],\"writes\":[{\"key\":\"op/config\",\"lease\":0,\"value\":\"$(base64 -w0 <<<"$routes")\"}],\"remove\":[]}"
wait_until 30 curl -sf --max-time 2 -X POST -d "$write" "http://$STORE/v1/kv-txn" || fail "no store"

start_fleet
echo "a small balancer waits for the large one, which stays down"
power_off_all
power_on small-1
wait_until 30 logged small-1 startup-wait-begins || fail "small-1 does not wait"
until logged small-1 startup-wait-ends; do
  if ready small-1 >/dev/null && ! logged small-1 startup-wait-ends; then
    fail "small-1 is ready before its wait has ended"
  fi
done
logged small-1 "startup-wait-ends .*reason=time-limit" || fail "another reason"
[ "$(waited_ms small-1)" -le 1000 ] || fail "waited $(waited_ms small-1) ms"
wait_until 30 ready small-1 || fail "small-1 is not ready"

echo "the small ones wait until the large one runs"
for round in 1 2 3 4 5; do
  power_off_all
  start_fleet
  power_off_all
  power_on small-1
  power_on small-2
  wait_until 30 logged small-1 startup-wait-begins || fail "small-1 does not wait"
  power_on large
  wait_until 30 logged small-1 startup-wait-ends || fail "small-1 waits for ever"
  wait_until 30 ready large || fail "large is not ready"
  logged large startup-wait-begins && fail "the large balancer waits"
  logged small-1 "startup-wait-ends .*reason=zone-runs" && break
  [ "$round" -lt 5 ] || fail "the wait always ended by its limit"
done
http_get "$(ip small-1):$((PORT + 11))" /metrics | grep "^sesamesaddle_startup_wait_ms $(waited_ms small-1)" ||
  fail "startup_wait_ms is not $(waited_ms small-1)"

echo "a planned restart does not wait"
stop small-1
power_on small-1
wait_until 30 ready small-1 || fail "small-1 is not ready"
logged small-1 startup-wait-begins && fail "small-1 waits in a rolling restart"
echo "passed"

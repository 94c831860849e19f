#!/usr/bin/env bash
# Runs one scenario with real processes. Usage: run.sh SCENARIO BASE_PORT
# Every scenario checks the invariants of end_load, most also that no flow broke.
# Waits poll a condition, with a generous timeout.
set -uo pipefail
ROOT="$(cd "$(dirname "$0")/../.." && pwd)"
export CLUSTER_BASE_PORT="$2"
source "$ROOT/scripts/lib/cluster.sh"
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$WORK"/load.log "$WORK"/operator.log >&2 2>/dev/null
  exit 1
}
expect() { "$@" || fail "$*"; }

# expect_code CODE COMMAND...
expect_code() {
  local expected=$1 code=0
  shift
  "$@" >"$WORK/out.txt" 2>&1 || code=$?
  [ "$code" = "$expected" ] || fail "exit $code, not $expected: $* : $(cat "$WORK/out.txt")"
}
expect_text() { grep -qF -- "$1" "$WORK/out.txt" || fail "\"$1\" is not in: $(cat "$WORK/out.txt")"; }

# load SECONDS RATE [FEEDS]: starts the load in the background.
load() {
  # shellcheck disable=SC2046
  start load "$BIN/tools/load" --seconds "$1" --seed "$CLUSTER_BASE_PORT" --json --quiet \
    --feed-bound-ms "${FEED_BOUND_MS:-5000}" \
    --group "$NAME_A:$SERVICE_A:callers=60:rate=$2:feeds=${3:-0.4}:writes=0.4:hot=0.3" \
    --group "$NAME_B:$SERVICE_B:callers=20:rate=$(($2 / 4)):writes=0.2:large=0.3" \
    $(target_arguments)
}

result() { grep -o "\"$1\":[0-9.]*" "$WORK/load.log" | head -n 1 | cut -d: -f2; }

# end_load: waits for the load and checks what must hold under any failure.
end_load() {
  wait "${PIDS[load]}" || true
  unset "PIDS[load]"
  tail -n 1 "$WORK/load.log"
  local name
  for name in duplicate_runs wrong_service wrong_answers incomplete lost_orders \
    false_refusals feed_regressions; do
    [ "$(result $name)" = 0 ] || fail "$name=$(result $name)"
  done
  [ "$(result answered)" -gt 100 ] || fail "only $(result answered) answered"
}
expect_unbroken() {
  local name
  for name in broken_flows unknown unanswered errors; do
    [ "$(result $name)" = 0 ] || fail "$name=$(result $name): $(cat "$WORK/load.log")"
  done
}

# in_force REVISION: whether every balancer has this configuration revision.
in_force() {
  local i
  for ((i = 0; i < BALANCERS; i++)); do
    [ "$(metric "$(balancer_admin "$i")" configuration_revision)" = "$1" ] || return 1
  done
}
no_flows() { [ "$(metric "$(agent_admin "$1")" flows)" = 0 ]; }

scenario_shell() {
  local admin
  admin="$(balancer_admin 0)"
  load 6 100
  expect http_get "$admin" /healthz
  expect http_get "$admin" /readyz
  expect_code 0 http_get "$admin" /v1/state
  expect_text "\"configuration\":{\"revision\":4"
  expect_code 0 http_get "$admin" /metrics
  expect_text "# TYPE sesamesaddle_datagrams_from_callers_total counter"
  expect_code 0 operator "show services where priority = high"
  expect_text "(1 row)"
  expect_code 0 operator --json "show balancers"
  expect_text "\"columns\":[\"name\""
  expect_code 2 operator "show services were priority = high"
  expect_text "column 15: expected where"
  expect_code 1 operator "create service other address $SERVICE_A"
  expect_text "belongs to service $NAME_A"
  expect_code 0 operator --wait "change service $NAME_B deadline 9s"
  expect_text "in force at 13 of 13 processes"
  expect_code 0 bash -c "printf 'show changes\n\nhelp\n' | '$BIN/packages/cli/sesamesaddle' --server $admin"
  expect_text "change service $NAME_B deadline 9s"
  expect_code 2 "$BIN/packages/daemon/sesamesaddled" agent --name x
  expect_text "--zone (SESAMESADDLE_ZONE): missing"
  # The API of a daemon with an admin token rejects commands without it.
  stop balancer-2 TERM
  export SESAMESADDLE_ADMIN_TOKEN=secret
  start_balancer 2
  unset SESAMESADDLE_ADMIN_TOKEN
  wait_until 20 ready "$(balancer_admin 2)" || fail "balancer-2 is not ready"
  OPERATOR_AT=2 expect_code 2 operator "show services"
  expect_text "401"
  SESAMESADDLE_ADMIN_TOKEN=secret OPERATOR_AT=2 expect_code 0 operator "show services"
  end_load
  expect_unbroken
  grep -q "daemon: graceful shutdown begins" "$WORK/balancer-2.log" || fail "the log shows no graceful shutdown"
}

scenario_planned() {
  load 24 150
  sleep 2
  expect operator --wait "drain instance $NAME_A-2"
  wait_until 20 no_flows 2 || fail "the drained agent still has flows"
  expect operator --wait "restore instance $NAME_A-2"
  # An agent and a balancer stop at the same time.
  stop agent-3 TERM &
  stop balancer-1 TERM
  wait $!
  wait "${PIDS[agent-3]}" 2>/dev/null
  start_agent 3
  start_balancer 1
  wait_until 20 ready "$(agent_admin 3)" || fail "agent-3 is not ready"
  wait_until 20 ready "$(balancer_admin 1)" || fail "balancer-1 is not ready"
  stop agent-4 TERM
  start_agent 4
  wait_until 20 ready "$(agent_admin 4)" || fail "agent-4 is not ready"
  end_load
  expect_unbroken
}

# The agents 0, 3, 6 and 9 are in the first zone.
scenario_evacuate_zone() {
  local i zone="${ZONES[0]}"
  load 24 100
  sleep 2
  expect_code 0 operator --wait "evacuate zone $zone"
  expect_text "in force at 13 of 13 processes"
  for i in 0 3 6 9; do
    wait_until 20 no_flows "$i" || fail "agent-$i of the evacuated zone still has flows"
  done
  # A balancer and an agent of the zone that start now know its state.
  stop balancer-1 KILL
  start_balancer 1
  stop agent-3 TERM
  start_agent 3
  wait_until 20 ready "$(balancer_admin 1)" || fail "balancer-1 is not ready"
  wait_until 20 ready "$(agent_admin 3)" || fail "agent-3 is not ready"
  local before=() after
  for i in 0 3 6 9; do before[i]="$(metric "$(agent_admin "$i")" completed_total)"; done
  sleep 2
  OPERATOR_AT=1 expect_code 0 operator "show zones where name = $zone and evacuated = yes"
  expect_text "(1 row)"
  for i in 0 3 6 9; do
    expect no_flows "$i"
    after="$(metric "$(agent_admin "$i")" completed_total)"
    [ "$after" = "${before[i]}" ] || fail "agent-$i completed $after requests, not ${before[i]}"
  done
  expect_code 1 operator "evacuate zone $zone"
  expect_text "zone $zone is evacuated already"
  expect operator --wait "restore zone $zone"
  end_load
  expect_unbroken
  # Flows stay with their owners, which lend requests to the restored targets.
  for i in 0 3 6; do
    after="$(metric "$(agent_admin "$i")" completed_total)"
    [ "$after" -gt "${before[i]}" ] || fail "agent-$i of the restored zone got no work"
  done
}

scenario_kill_balancer() {
  load 14 150
  sleep 3
  stop balancer-0 KILL
  sleep 4
  start_balancer 0
  OPERATOR_AT=1 wait_until 20 ready "$(balancer_admin 0)" || fail "balancer-0 is not ready after its restart"
  stop balancer-1 KILL
  end_load
  expect_unbroken
}

scenario_kill_agent() {
  FEED_BOUND_MS=40000 load 40 100
  sleep 3
  stop agent-5 KILL
  stop target-5 KILL
  sleep 8
  start_target 5
  start_agent 5
  wait_until 20 ready "$(agent_admin 5)" || fail "agent-5 is not ready"
  stop target-6 KILL
  sleep 3
  start_target 6
  end_load
  [ "$(result unanswered)" = 0 ] || fail "unanswered=$(result unanswered)"
}

scenario_freeze() {
  FEED_BOUND_MS=40000 load 30 100
  sleep 3
  signal_process balancer-1 STOP
  signal_process agent-1 STOP
  sleep 5
  signal_process balancer-1 CONT
  signal_process agent-1 CONT
  sleep 4
  signal_process target-2 STOP
  sleep 3
  signal_process target-2 CONT
  signal_process agent-2 STOP
  sleep 1
  signal_process agent-2 CONT
  end_load
}

scenario_platform() {
  load 30 80
  # Platform down: the configuration stays in force; the outcome of a change is
  # unknown.
  expect http_post "$PLATFORM" "/control?mode=down"
  expect_code 3 operator "drain instance $NAME_A-1"
  expect_text "outcome unknown"
  # A new balancer gets the configuration from its peers.
  stop balancer-2 KILL
  start newcomer "$BIN/packages/daemon/sesamesaddled" balancer --name newcomer \
    --zone "${ZONES[2]}" --listen "$(balancer_peer 2)" \
    --admin-listen "$(balancer_admin 2)" --platform "$PLATFORM" \
    --fabric-listen "$(balancer_fabric 2)" --fabric "$FABRIC" \
    --peer "$(balancer_peer 0)"
  wait_until 30 ready "$(balancer_admin 2)" || fail "the new balancer is not ready"
  # A store write takes effect but its reply is lost: the change is listed once.
  expect http_post "$PLATFORM" "/control?mode=ok"
  wait_until 20 operator "drain instance $NAME_A-3" || fail "no change is accepted after the outage"
  expect http_post "$PLATFORM" "/control?mode=lose-replies"
  expect_code 3 operator "drain instance $NAME_A-4"
  expect http_post "$PLATFORM" "/control?mode=ok"
  local id
  id="$(sed -n 's/.*where change = //p' "$WORK/out.txt")"
  change_settled() { operator "show changes where change = $id" | grep -q "(1 row)"; }
  wait_until 30 change_settled || fail "change $id is not listed"
  # Two operators create the same service: one is accepted, the other is refused
  # with the name of the service.
  expect_text "outcome unknown"
  (OPERATOR_AT=0 operator "create service both address 127.0.1.9:1" >"$WORK/one.txt" 2>&1) &
  (OPERATOR_AT=1 operator "create service both address 127.0.1.9:2" >"$WORK/two.txt" 2>&1) &
  both_responded() { grep -q . "$WORK/one.txt" && grep -q . "$WORK/two.txt"; }
  wait_until 20 both_responded || fail "an operator got no response"
  [ "$(cat "$WORK/one.txt" "$WORK/two.txt" | grep -c accepted)" = 1 ] || fail "expected exactly one accepted change: $(cat "$WORK/one.txt" "$WORK/two.txt")"
  [ "$(cat "$WORK/one.txt" "$WORK/two.txt" | grep -c "service both exists")" = 1 ] || fail "expected exactly one refused change"
  expect http_post "$PLATFORM" "/control?mode=slow&ms=800"
  expect_code 0 operator "restore instance $NAME_A-3"
  expect http_post "$PLATFORM" "/control?mode=ok"
  end_load
  expect_unbroken
}

scenario_fabric() {
  FEED_BOUND_MS=15000 load 24 100
  sleep 2
  expect http_post "$FABRIC_CONTROL" "/control?cut=0&direction=from"
  sleep 6
  expect http_post "$FABRIC_CONTROL" "/control?heal=1"
  expect http_post "$FABRIC_CONTROL" "/control?cut=1&direction=to"
  sleep 6
  expect http_post "$FABRIC_CONTROL" "/control?heal=1"
  expect http_post "$FABRIC_CONTROL" "/control?loss=5"
  sleep 4
  expect http_post "$FABRIC_CONTROL" "/control?heal=1"
  end_load
  expect_unbroken
}

scenario_together() {
  FEED_BOUND_MS=60000 load 40 80
  local round
  for round in 1 2; do
    sleep 2
    signal_process agent-1 STOP
    http_post "$PLATFORM" "/control?mode=down" >/dev/null
    stop "balancer-$round" KILL
    http_post "$FABRIC_CONTROL" "/control?loss=3" >/dev/null
    sleep 3
    signal_process agent-1 CONT
    stop "agent-$((round + 2))" KILL
    http_post "$PLATFORM" "/control?mode=ok" >/dev/null
    start_balancer "$round"
    start_agent "$((round + 2))"
    sleep 5
    http_post "$FABRIC_CONTROL" "/control?heal=1" >/dev/null
  done
  end_load
}

set_user "${USER_OF_TEST:-azote}"
WORK_MS=30
start_cluster || fail "the cluster did not start"
"scenario_$1"
echo "passed: $1"

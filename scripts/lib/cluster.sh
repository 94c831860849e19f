# Starts the stand-ins and daemons of one user's cluster as separate processes
# and stops them by process id. Sourced; requires ROOT. Concurrent clusters need
# different CLUSTER_BASE_PORT values.

BIN="$ROOT/build"
BASE="${CLUSTER_BASE_PORT:-7100}"
WORK="${CLUSTER_DIR:-$(mktemp -d)}"
declare -A PIDS

PLATFORM="127.0.0.1:$BASE"
FABRIC="127.0.0.1:$((BASE + 1))"
FABRIC_CONTROL="127.0.0.1:$((BASE + 2))"
# Service addresses; their ports also derive from the base port.
SERVICE_A="127.0.1.1:$((BASE + 3))"
SERVICE_B="127.0.1.2:$((BASE + 3))"

balancer_fabric() { echo "127.0.0.1:$((BASE + 10 + $1))"; }
balancer_peer() { echo "127.0.0.1:$((BASE + 20 + $1))"; }
balancer_admin() { echo "127.0.0.1:$((BASE + 30 + $1))"; }
agent_peer() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
agent_admin() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
target_http() { echo "127.0.0.1:$((BASE + 300 + $1))"; }

# set_user azote|kinnitus: sets the names, zones, slots and sizes of that user.
set_user() {
  case "$1" in
    azote)
      ZONES=(montreal quebec saguenay)
      NAME_A=ordering NAME_B=documents SLOTS=3
      PRIORITY_A=high PRIORITY_B=normal
      ;;
    kinnitus)
      ZONES=(tartu-1 tartu-2 voru)
      NAME_A=signing NAME_B=archive SLOTS=2
      PRIORITY_A=high PRIORITY_B=low
      ;;
    *)
      echo "unknown user \"$1\"; expected azote or kinnitus" >&2
      return 2
      ;;
  esac
  COUNT_A=7
  COUNT_B=3
  BALANCERS=3
  WORK_MS="${WORK_MS:-60}"
}

# start NAME COMMAND...: runs COMMAND in the background, logging to NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME [SIGNAL]: sends SIGNAL (default TERM) and waits for the exit.
stop() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "PIDS[$1]"
}

signal_process() { kill "-$2" "${PIDS[$1]}"; }

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; done
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null; done
  PIDS=()
  if [ -z "${CLUSTER_DIR:-}" ]; then rm -rf "$WORK"; fi
}

# wait_until SECONDS COMMAND...: retries COMMAND until it succeeds or times out.
wait_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

http_get() { curl -sf --max-time 2 "http://$1$2"; }
http_post() { curl -sf --max-time 2 -X POST "http://$1$2"; }
ready() { http_get "$1" /readyz; }

# metric ADMIN NAME: prints the value of a metric of the daemon at ADMIN.
metric() {
  http_get "$1" /metrics | awk -v n="sesamesaddle_$2" '$1 == n { print $2 }'
}

start_platform() { start platform "$BIN/standins/standin_platform" --listen "$PLATFORM"; }

start_fabric() {
  local arguments=() i
  for ((i = 0; i < BALANCERS; i++)); do
    arguments+=(--balancer "$(balancer_fabric "$i"),$(balancer_admin "$i")")
  done
  start fabric "$BIN/standins/standin_fabric" --listen "$FABRIC" \
    --control "$FABRIC_CONTROL" --service "$SERVICE_A" --service "$SERVICE_B" \
    "${arguments[@]}"
}

start_balancer() {
  start "balancer-$1" "$BIN/packages/daemon/sesamesaddled" balancer \
    --name "balancer-$1" --zone "${ZONES[$(($1 % 3))]}" \
    --listen "$(balancer_peer "$1")" --admin-listen "$(balancer_admin "$1")" \
    --platform "$PLATFORM" --fabric-listen "$(balancer_fabric "$1")" \
    --fabric "$FABRIC"
}

# service_of INDEX: prints the service; targets 0 to COUNT_A-1 serve A, the rest B.
service_of() { if [ "$1" -lt "$COUNT_A" ]; then echo "$NAME_A"; else echo "$NAME_B"; fi; }

start_target() {
  start "target-$1" "$BIN/standins/standin_target" --listen "$(target_http "$1")" \
    --name "$(service_of "$1")-$1" --service "$(service_of "$1")" \
    --slots "$SLOTS" --work-ms "$WORK_MS" --seed "$1" \
    --journal "$WORK/journal-$1.txt"
}

start_agent() {
  start "agent-$1" "$BIN/packages/daemon/sesamesaddled" agent \
    --name "$(service_of "$1")-$1" --zone "${ZONES[$(($1 % 3))]}" \
    --listen "$(agent_peer "$1")" --admin-listen "$(agent_admin "$1")" \
    --platform "$PLATFORM" --target "$(target_http "$1")" --slots "$SLOTS" \
    --slow-start-ms "${SLOW_START_MS:-1000}"
}

# operator [OPTION...] COMMAND: runs an operator command at balancer OPERATOR_AT
# (default 0).
operator() { "$BIN/packages/cli/sesamesaddle" --server "$(balancer_admin "${OPERATOR_AT:-0}")" "$@"; }

members_known() {
  [ "$(metric "$1" members_present)" = "$((BALANCERS + COUNT_A + COUNT_B - 1))" ]
}

# start_cluster: starts all processes, configures them, and waits for readiness.
start_cluster() {
  local i
  start_platform
  wait_until 10 http_get "$PLATFORM" /calls
  for ((i = 0; i < BALANCERS; i++)); do start_balancer "$i"; done
  for ((i = 0; i < COUNT_A + COUNT_B; i++)); do
    start_target "$i"
    start_agent "$i"
  done
  start_fabric
  for ((i = 0; i < BALANCERS; i++)); do
    wait_until 20 http_get "$(balancer_admin "$i")" /healthz
  done
  operator "create service $NAME_A address $SERVICE_A priority $PRIORITY_A deadline 10s" >>"$WORK/operator.log"
  operator "create service $NAME_B address $SERVICE_B priority $PRIORITY_B deadline 10s" >>"$WORK/operator.log"
  operator "allow targets $NAME_A-* for $NAME_A" >>"$WORK/operator.log"
  operator "allow targets $NAME_B-* for $NAME_B" >>"$WORK/operator.log"
  for ((i = 0; i < BALANCERS; i++)); do
    wait_until 30 members_known "$(balancer_admin "$i")"
    wait_until 20 ready "$(balancer_admin "$i")"
  done
  for ((i = 0; i < COUNT_A + COUNT_B; i++)); do
    wait_until 30 members_known "$(agent_admin "$i")"
    wait_until 20 ready "$(agent_admin "$i")"
  done
  sleep 0.5  # The fabric polls /readyz every 100 ms.
}

# target_arguments: prints a --target option of the load tool for each target.
target_arguments() {
  local i
  for ((i = 0; i < COUNT_A + COUNT_B; i++)); do
    printf -- '--target %s ' "$(target_http "$i")"
  done
}

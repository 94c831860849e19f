# Sourced by the scripts of the cases: starts the daemons of a small deployment on
# loopback with the commands of the deploy file, and the stand-ins in `world`.
# Sets BASE, WORK and PIDS. Ends only the processes that it started.
CASE="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
ROOT="$(cd "$CASE/../.." && pwd)"
WORLD="${WORLD:-$ROOT/target/review-3/world}"
DAEMON="$ROOT/target/packages/daemon/sesamesaddled"
WORK="$(mktemp -d)"
declare -A PIDS=()
AGENTS=3 SOUTHERN_AGENTS=0
cd "$ROOT" || exit 2
[ -x "$WORLD" ] && [ -x "$DAEMON" ] || { echo "case: build first" >&2; exit 2; }

end_all() {
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap end_all EXIT

port_is_free() {  # BASE: no listener at any port of the deployment
  local port
  for port in 0 1 2 3 4 5 10 11 12 13 14 15 16 17 18 19 20; do
    grep -q ":$(printf '%04X' $(($1 + port))) " /proc/net/tcp /proc/net/udp && return 1
  done
  return 0
}
BASE=$((20000 + RANDOM % 400 * 30))
until port_is_free $BASE; do BASE=$((20000 + RANDOM % 400 * 30)); done

settings() {  # balancer|agent INDEX -> file
  local file="$WORK/$1-$2.toml" ip="127.41.0.$(($2 + 1))" class=edge zone=north
  [ "$1" = agent ] && ip="127.42.0.$(($2 + 1))" class=side
  [ "$1" = agent ] && [ "$2" -ge $((AGENTS - SOUTHERN_AGENTS)) ] && zone=south
  {
    echo "nodeName = \"$class-$2\""
    echo "role = \"$1\""
    echo "machineClass = \"$class\""
    [ "$1" = balancer ] && echo 'serves = ["edge","control_plane"]'
    [ "$1" = agent ] && echo 'serves = ["side"]'
    echo "ip = \"$ip\""
    echo "zone = \"$zone\""
    echo 'region = "land"'
    echo "portRange = [$((BASE + 10)),$((BASE + 20))]"
    echo "seeds = [\"127.41.0.1:$((BASE + 2))\",\"127.41.0.2:$((BASE + 2))\",\"127.41.0.3:$((BASE + 2))\"]"
    echo 'bootstrap = true'
    echo 'inTolerance = false'
    echo 'discovery = "local"'
    echo 'entry = "announcement"'
    echo 'heartbeatMs = 1200'
    echo 'contracts = ["base","drain","config","cost","recover","flows","platform"]'
    echo 'hashPolicy = "steady"'
    echo 'proxyMode = "agent"'
    [ "$1" = agent ] && echo "service = \"orders\""
    [ "$1" = agent ] && echo "app = \"$ip:$((BASE + 4))\""
    echo '[zones]'
    echo 'north = "land"'
    echo 'south = "land"'
    echo '[listen]'
    echo "datagramAddr = \"$ip:$BASE\""
    echo "readiness = \"$ip:$((BASE + 1))\""
    echo "control = \"$ip:$((BASE + 2))\""
    [ "$1" = agent ] && echo "outbound = \"$ip:$((BASE + 3))\""
    echo '[limits]'
    echo 'cpuShare = 0.15'
    echo 'cpus = 1'
    echo 'memoryMb = 128'
    echo 'maxFds = 4096'
    echo 'linkMbps = 1000.0'
    echo 'diskMb = 0'
    echo '[faultTolerance]'
    echo 'machines = 2'
    echo 'zones = 0'
    echo 'regions = 0'
    echo '[bounds]'
    echo 'seedLagS = 3'
    echo 'reuseAfterS = 2'
    echo 'stableWindowMs = 4000'
    echo 'ackTimeoutMs = 5000'
    echo 'catchUpS = 4'
    echo 'drainTimeoutMs = 3000'
    echo 'graceS = 6'
    echo 'lossSlackMs = 200'
    echo 'configApplyMs = 3000'
    echo 'backMs = 250'
    echo 'maxSkewMs = 12000'
    echo 'recoveryS = 12'
    echo 'reorderMs = 2000'
    echo 'flowTtlS = 60'
    echo 'slowStartOver = 1.5'
    echo 'slowStartSlack = 5'
    echo 'evacuateMs = 5000'
    echo '[platform]'
    # The stand-in tells agent 0 from the others by the address that it calls.
    [ "$1-$2" = agent-0 ] && echo "address = \"127.43.0.2:$((BASE + 5))\""
    [ "$1-$2" = agent-0 ] || echo "address = \"127.43.0.1:$((BASE + 5))\""
    echo 'proxyMode = "kv"'
    echo 'writesPerS = 400'
    echo 'readsPerS = 2000'
    echo 'historyS = 20'
    echo 'valueBytes = 1048576'
    echo 'ttlMinMs = 1000'
  } >"$file"
  echo "$file"
}

start() {  # balancer|agent INDEX
  local file
  file="$(settings "$1" "$2")"
  trap - EXIT
  SESAMESADDLE_CONFIG="$file" target/packages/daemon/sesamesaddled "flow-$1" \
    >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
  trap end_all EXIT
}

run_world() {  # SECONDS TROUBLE
  trap - EXIT
  "$WORLD" "$BASE" "$1" "$CASE/record.txt" "$2" >"$WORK/world.out" &
  PIDS[world]=$!
  trap end_all EXIT
  sleep 0.3
  local i
  for ((i = 0; i < 3; ++i)); do start balancer $i; done
  for ((i = 0; i < AGENTS; ++i)); do start agent $i; done
}

wait_for() {  # LINE: until the stand-ins have printed it
  until grep -q "^$1$" "$WORK/world.out"; do
    kill -0 "${PIDS[world]}" 2>/dev/null || return
    sleep 0.02
  done
}

# Waits for the stand-ins; returns 1 if the rule was broken, 0 if it held, 2 if
# the case could not run or a daemon ended by itself.
finish() {
  wait "${PIDS[world]}"
  local status=$? name
  unset "PIDS[world]"
  tail -n 1 "$WORK/world.out"
  for name in "${!PIDS[@]}"; do
    kill -0 "${PIDS[$name]}" 2>/dev/null || { echo "case: $name has ended" && status=2; }
  done
  [ -n "${KEEP_LOGS:-}" ] && cp "$WORK"/*.log "$KEEP_LOGS"
  exit $status
}

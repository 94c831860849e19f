#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case of review/standins-2/world.cpp against
# the project's programs, started as deploy/system.toml starts them. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
CASE="$1" FOLDER="$2"
ROOT="$(cd "$(dirname "$0")/../.." && pwd)"
WORLD="$ROOT/build/review-2/world"
DAEMON=target/packages/daemon/sesamesaddled
cd "$ROOT" || exit 2
[ -x "$WORLD" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x "$DAEMON" ] || { echo "build by deploy/system.toml first"; exit 2; }
WORK="$(mktemp -d)" || exit 2
WORLD_PID=""
declare -A PIDS
stop_all() {
  for pid in $WORLD_PID "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && cp -r "$WORK" "$KEEP"
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 2' INT TERM
BASE="$("$WORLD" base)" || exit 2

settings() {  # ROLE INDEX -> file
  local role="$1" index="$2" file="$WORK/$1-$2.toml" ip class serves store
  if [ "$role" = balancer ]; then
    ip="127.10.0.$((index + 1))" class=edge serves='["edge","control_plane"]' store=$((BASE + 60 + index))
  else
    ip="127.20.0.$((index + 1))" class=side serves='["side"]' store=$((BASE + 50 + index))
  fi
  {
    cat <<T
nodeName = "$class-z1-$((index + 1))"
role = "$role"
machineClass = "$class"
serves = $serves
ip = "$ip"
zone = "z1"
region = "r1"
portRange = [$((BASE + 10)),$((BASE + 25))]
seeds = ["127.10.0.1:$((BASE + 2))","127.10.0.2:$((BASE + 2))"]
bootstrap = true
inTolerance = false
discovery = "local"
entry = "announcement"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","platform"${PLACES:+,\"places\"}]
hashPolicy = "steady"
proxyMode = "agent"
T
    [ "$role" = agent ] && echo "service = \"orders\"" && echo "app = \"$ip:$((BASE + 4))\""
    cat <<T
[zones]
z1 = "r1"
[listen]
datagramAddr = "$ip:$BASE"
readiness = "$ip:$((BASE + 1))"
control = "$ip:$((BASE + 2))"
T
    [ "$role" = agent ] && echo "outbound = \"$ip:$((BASE + 3))\""
    cat <<T
[limits]
cpuShare = 0.25
cpus = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainTimeoutMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
backMs = 250
maxSkewMs = 12000
recoveryS = 12
reorderMs = 2000
flowTtlS = 60
${PLACES:+slowStartOver = 1.5
slowStartSlack = 5
evacuateMs = 5000}
[platform]
address = "127.40.0.1:$store"
proxyMode = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
T
  } >"$file"
  echo "$file"
}
start() {  # ROLE INDEX
  local file
  file="$(settings "$1" "$2")"
  SESAMESADDLE_CONFIG="$file" "$DAEMON" "flow-$1" >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
}

mkfifo "$WORK/orders"
"$WORLD" "$CASE" "$BASE" "$FOLDER/record.txt" "${TROUBLE:-1}" >"$WORK/orders" &
WORLD_PID=$!
exec 3<"$WORK/orders"
sleep 0.1
for i in 0 1; do start balancer $i; done
for i in 0 1 2; do start agent $i; done
while read -r verb role index <&3; do
  case "$verb" in
    start) start "$role" "$index" ;;
    kill | stop | cont | term)
      kill "-${verb^^}" "${PIDS[$role-$index]}"
      [ "$verb" = kill ] && wait "${PIDS[$role-$index]}" 2>/dev/null ;;
  esac
done
wait "$WORLD_PID"
STATUS=$?
for name in "${!PIDS[@]}"; do
  kill -0 "${PIDS[$name]}" 2>/dev/null || { echo "$name has ended"; [ $STATUS = 0 ] && STATUS=2; }
done
[ "$STATUS" = 0 ] || [ "$STATUS" = 1 ] || STATUS=2
tail -n 4 "$FOLDER/record.txt"
exit "$STATUS"

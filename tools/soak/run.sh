#!/usr/bin/env bash
# run.sh SEED SECONDS [PORT] [calm|planned|restarts|mixed|returns|evacuate|cold]:
# runs the real programs and injects faults. calm: no faults. planned: balancers
# restart, targets drain. restarts: agents and balancers restart in overlapping
# series (restarts.sh), targets drain and are replaced, configurations add routes
# several times a second, and clients pause on open flows, none of which may break
# while its target lives. mixed: signals, target crashes, packet loss, and faults of
# the store and of the connections to it. returns: the same, and the store often
# comes back from a copy of its data. evacuate: an availability zone is evacuated and
# restored (evacuation.sh). cold: targets crash and start slowly with a limit of
# WARMUP new flows per second; agents and balancers are killed meanwhile. The seed
# determines the faults and their order; the script prints them if the run fails.
# BALANCERS, TARGETS and CLIENTS set sizes. If OTHER_DAEMON names the sesamesaddled
# of another build, half of the processes start with it, and each restart changes
# the build of its process (scripts/mixed-builds).
# Ends only the processes that it started, by their ids.
set -uo pipefail
SEED="${1:?seed}" SECONDS_LONG="${2:?seconds}" PORT="${3:-25000}" MODE="${4:-mixed}"
BIN="${BIN:-$(cd "$(dirname "$0")/../.." && pwd)/build}"
if [ "$MODE" = restarts ]; then
  BALANCERS="${BALANCERS:-6}" TARGETS="${TARGETS:-9}" CLIENTS="${CLIENTS:-80}"
fi
BALANCERS="${BALANCERS:-3}" TARGETS="${TARGETS:-6}" CLIENTS="${CLIENTS:-40}" CALM=6
RANDOM=$((SEED % 32768))
WORK="$(mktemp -d)"
STORE="127.0.0.1:$((PORT + 50))"
declare -A PIDS STARTS

settings() {  # ROLE INDEX -> file
  local kind=1 file="$WORK/$1-$2.toml" service=orders
  [ "$1" = agent ] && kind=2
  [ $(($2 % 3)) = 2 ] && service=reports
  local ip="127.$kind.0.$(($2 + 1))"
  {
    echo "nodeName = \"$1-$2\""
    echo "ip = \"$ip\""
    echo "zone = \"z$(($2 % 2))\""
    echo "portRange = [$((PORT + 10)),$((PORT + 20))]"
    [ "$1" = agent ] && echo "app = \"$ip:$((PORT + 4))\"" && echo "service = \"$service\""
    echo "[listen]"
    echo "datagramAddr = \"$ip:$PORT\""
    echo "readiness = \"$ip:$((PORT + 1))\""
    [ "$1" = agent ] && echo "control = \"$ip:$((PORT + 2))\"" && echo "outbound = \"$ip:$((PORT + 3))\""
    echo "[bounds]"
    echo "graceS = 6"
    echo "[platform]"
    echo "address = \"127.0.0.1:$((PORT + 60 + $2 % 2))\""
  } >"$file"
  echo "$file"
}
start() {  # ROLE INDEX
  local file
  local daemon="$BIN/packages/daemon/sesamesaddled"
  file="$(settings "$1" "$2")"
  local starts="${STARTS[$1-$2]:-0}"
  STARTS[$1-$2]=$((starts + 1))
  if [ -n "${OTHER_DAEMON:-}" ] && [ $((($2 + starts) % 2)) = 1 ]; then
    daemon="$OTHER_DAEMON"
  fi
  # A child that receives a signal before its exec would run the trap, too.
  trap - EXIT
  "$daemon" "flow-$1" --metrics-port 0 \
    --settings "$file" >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
  trap stop_all EXIT
}
stop_all() {
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
}
trap stop_all EXIT

"$BIN/standins/standin_platform" --listen "$STORE" >"$WORK/store.log" 2>&1 &
PIDS[store]=$!
# Each of the two proxies connects half of the processes to the store.
for i in 0 1; do
  "$BIN/standins/standin_proxy" --listen "127.0.0.1:$((PORT + 60 + i))" \
    --control "127.0.0.1:$((PORT + 70 + i))" --to "$STORE" >"$WORK/proxy-$i.log" 2>&1 &
  PIDS[proxy-$i]=$!
done
network() { echo "$2" >"/dev/udp/127.0.0.1/$((PORT + 70 + $1))"; }  # PROXY HOW
sleep 0.3
case "$MODE" in
  calm | evacuate) WORLD_MODE=(--planned --lost-packets 0 --no-crashes --no-drains) ;;
  planned) WORLD_MODE=(--planned --no-crashes) ;;
  restarts) WORLD_MODE=(--open-flows --no-crashes --lost-packets 0) ;;
  mixed | returns) WORLD_MODE=() ;;
  cold) WORLD_MODE=(--lost-packets 0 --no-drains --slow-start-ms 4000 --warmup-per-s "${WARMUP:-4}") ;;
  *)
    echo "run.sh: unknown mode \"$MODE\"; expected calm, planned, restarts, mixed, returns, evacuate or cold" >&2
    exit 2
    ;;
esac
for ((i = 0; i < BALANCERS; ++i)); do start balancer $i; done
for ((i = 0; i < TARGETS; ++i)); do start agent $i; done
"$BIN/tools/soak_world" --seed "$SEED" --seconds "$SECONDS_LONG" --calm-seconds $CALM \
  --base-port "$PORT" --store "$STORE" --balancers $BALANCERS --targets $TARGETS \
  --clients "$CLIENTS" "${WORLD_MODE[@]}" >"$WORK/world.log" 2>&1 &
WORLD=$!
sleep 4

restart() {  # NAME SIGNAL
  kill "-$2" "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  start "${1%-*}" "${1#*-}"
}
end=$((SECONDS + SECONDS_LONG - CALM - 4))
plan_status=0
if [ "$MODE" = evacuate ]; then
  . "$(dirname "$0")/evacuation.sh"
  evacuation_plan || plan_status=1
  [ $SECONDS -lt $end ] || { echo "soak: the plan took longer than the run" && plan_status=1; }
fi
if [ "$MODE" = restarts ]; then
  . "$(dirname "$0")/restarts.sh"
  restart_series
fi
while [ "$MODE" != calm ] && [ "$MODE" != evacuate ] && [ $SECONDS -lt $end ]; do
  if [ "$MODE" = planned ]; then
    name="balancer-$((RANDOM % BALANCERS))" fault=TERM
  elif [ "$MODE" = cold ]; then
    case $((RANDOM % 3)) in 0) name="balancer-$((RANDOM % BALANCERS))" ;; *) name="agent-$((RANDOM % TARGETS))" ;; esac
    fault=KILL
    sleep 2
  else
    case $((RANDOM % 3)) in 0) name="balancer-$((RANDOM % BALANCERS))" ;; *) name="agent-$((RANDOM % TARGETS))" ;; esac
    case $((RANDOM % 8)) in 0) fault=TERM ;; 1 | 2) fault=KILL ;; 3) fault=PAUSE ;; 4) fault=HUP ;; 5) fault=STORE ;; *) fault=NETWORK ;; esac
    [ "$MODE" = returns ] && [ $((RANDOM % 3)) = 0 ] && fault=STORE
  fi
  echo "soak: $name $fault" >>"$WORK/plan.log"
  case $fault in
    TERM | KILL) restart "$name" $fault ;;
    HUP) kill -HUP "${PIDS[$name]}" ;;
    PAUSE)
      kill -STOP "${PIDS[$name]}"
      sleep "1.$((RANDOM % 10))"
      kill -CONT "${PIDS[$name]}"
      ;;
    STORE)
      mode=$(printf 'down\nslow\nlose-replies\nforget\nrestore\n' | sed -n "$((RANDOM % 5 + 1))p")
      [ "$MODE" = returns ] && mode=restore
      echo "soak: store $mode" >>"$WORK/plan.log"
      if [ "$mode" = restore ]; then
        curl -s -m 1 -X POST "http://$STORE/control?mode=copy" >/dev/null
        sleep "$((RANDOM % 3)).$((RANDOM % 10))"
      fi
      curl -s -m 1 -X POST "http://$STORE/control?mode=$mode&ms=400" >/dev/null
      sleep "0.$((RANDOM % 10))"
      curl -s -m 1 -X POST "http://$STORE/control?mode=ok" >/dev/null
      ;;
    NETWORK)
      which=$((RANDOM % 2))
      how=$(printf 'delay 300\nreset\ncut up\ncut down\nhush\n' | sed -n "$((RANDOM % 5 + 1))p")
      echo "soak: proxy-$which $how" >>"$WORK/plan.log"
      network $which "$how"
      sleep "$((RANDOM % 3)).$((RANDOM % 10))"
      network $which ok
      ;;
  esac
  sleep "0.$((RANDOM % 8))"
done
network 0 ok
network 1 ok
curl -s -m 1 -X POST "http://$STORE/control?mode=ok" >/dev/null
wait $WORLD
status=$?
[ $plan_status -eq 0 ] || status=1
echo "seed $SEED $MODE: $(tail -n 1 "$WORK/world.log")"
if [ $status -ne 0 ]; then
  [ -f "$WORK/plan.log" ] && cat "$WORK/plan.log"
  grep "^soak: broken" "$WORK/world.log"
  echo "logs: $WORK"
else
  rm -rf "$WORK"
fi
exit $status

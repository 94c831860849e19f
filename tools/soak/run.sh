#!/usr/bin/env bash
# run.sh SEED SECONDS [PORT] [planned]: the real programs under signals.
# The seed decides which process gets which signal when; the plan is printed.
# Ends only the processes that it started, by their ids.
set -uo pipefail
SEED="${1:?seed}" SECONDS_LONG="${2:?seconds}" PORT="${3:-25000}" MODE="${4:-mixed}"
BIN="${BIN:-$(cd "$(dirname "$0")/../.." && pwd)/build}"
BALANCERS=3 TARGETS=5 CALM=6
RANDOM=$((SEED % 32768))
WORK="$(mktemp -d)"
STORE="127.0.0.1:$((PORT + 50))"
declare -A PIDS

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
    echo "address = \"$STORE\""
  } >"$file"
  echo "$file"
}
start() {  # ROLE INDEX
  local file
  file="$(settings "$1" "$2")"
  "$BIN/packages/daemon/sesamesaddled" "flow-$1" --metrics-port 0 \
    --settings "$file" >>"$WORK/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
}
stop_all() {
  # A child that gets a signal before its exec runs this trap as well.
  [ "$BASHPID" = "$$" ] || return
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
}
trap stop_all EXIT

"$BIN/standins/standin_platform" --listen "$STORE" >"$WORK/store.log" 2>&1 &
PIDS[store]=$!
sleep 0.3
for ((i = 0; i < BALANCERS; ++i)); do start balancer $i; done
for ((i = 0; i < TARGETS; ++i)); do start agent $i; done
"$BIN/tools/soak_world" --seed "$SEED" --seconds "$SECONDS_LONG" --calm-seconds $CALM \
  --base-port "$PORT" --store "$STORE" --balancers $BALANCERS --targets $TARGETS \
  $([ "$MODE" = planned ] && echo --planned) >"$WORK/world.log" 2>&1 &
WORLD=$!
sleep 4

restart() {  # NAME SIGNAL
  kill "-$2" "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  start "${1%-*}" "${1#*-}"
}
end=$((SECONDS + SECONDS_LONG - CALM - 4))
while [ $SECONDS -lt $end ]; do
  if [ "$MODE" = planned ]; then
    name="balancer-$((RANDOM % BALANCERS))" fault=TERM
  else
    case $((RANDOM % 3)) in 0) name="balancer-$((RANDOM % BALANCERS))" ;; *) name="agent-$((RANDOM % TARGETS))" ;; esac
    case $((RANDOM % 6)) in 0) fault=TERM ;; 1 | 2) fault=KILL ;; 3) fault=PAUSE ;; 4) fault=HUP ;; *) fault=STORE ;; esac
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
      mode=$(printf 'down\nslow\nlose-replies\nforget\n' | sed -n "$((RANDOM % 4 + 1))p")
      curl -s -m 1 -X POST "http://$STORE/control?mode=$mode&ms=400" >/dev/null
      sleep "0.$((RANDOM % 10))"
      curl -s -m 1 -X POST "http://$STORE/control?mode=ok" >/dev/null
      ;;
  esac
  sleep "0.$((RANDOM % 8))"
done
curl -s -m 1 -X POST "http://$STORE/control?mode=ok" >/dev/null
wait $WORLD
status=$?
echo "seed $SEED $MODE: $(tail -n 1 "$WORK/world.log")"
if [ $status -ne 0 ]; then
  cat "$WORK/plan.log"
  echo "logs: $WORK"
else
  rm -rf "$WORK"
fi
exit $status

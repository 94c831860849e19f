#!/usr/bin/env bash
# Runs the case "reused-address"; exit code 1: the rule broke, 0: it held, 2: the case
# could not run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and review/build.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
world="$root/target/review/world"
[ -x "$world" ] && [ -x "$root/target/packages/daemon/sesamesaddled" ] || {
  echo "run.sh: build the deploy file and review/build.sh first" >&2
  exit 2
}
timeout -k 5 110 "$world" reused-address "$root" "$here/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code

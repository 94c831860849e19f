#!/usr/bin/env bash
# FLOW: open flows of a living server are reset, long after a cut has ended.
HERE="$(cd "$(dirname "$0")" && pwd)"
exec "$HERE/../standins-2/run-case.sh" reborn "$HERE"

#!/usr/bin/env bash
# FLOW: open flows of a living server are reset after all balancers were killed
# and its agent has lost its entry in the store without noticing.
HERE="$(cd "$(dirname "$0")" && pwd)"
exec "$HERE/../standins-2/run-case.sh" revoked "$HERE"

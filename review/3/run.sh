#!/usr/bin/env bash
# Runs this case once: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run.sh" "$(basename "$folder")"

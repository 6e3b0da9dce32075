#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 sends no
# SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccaentry ] && [ -x review/bin/slowread ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec review/bin/slowread -record review/2/record.txt

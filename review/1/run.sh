#!/bin/sh
# Exits with 1 if REFUSED or TWICE was broken, 0 if they held, 2 if the case could not run. With TROUBLE=0 the
# servers neither reject requests nor send answers twice.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccaentry ] && [ -x review/bin/refused ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec review/bin/refused -record review/1/record.txt

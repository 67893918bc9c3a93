#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cypressglade.jar ] && [ -d review/out ] || { echo "build first" >&2; exit 2; }
exec java -Xmx128m -cp review/out ReloadDuringBody review/3

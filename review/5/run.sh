#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jre/bin/java ] && [ -d target/review ] || exit 2
exec target/jre/bin/java -Xmx256m -cp 'target/review:target/lib/*' review.WatchCutAndRemoval review/5

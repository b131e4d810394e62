#!/usr/bin/env bash
# Builds the stand-ins that the cases start; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/jdk
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -d target/review -cp 'target/lib/*' review/standins/review/*.java

#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review into target/review-3. Run it after the build of
# deploy/system.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/jdk
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -Xlint:all -Xlint:-serial -d target/review-3 -cp 'target/lib/*' review/standins-3/*.java

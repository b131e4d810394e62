#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/jdk
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standins-2/*.java

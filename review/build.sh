#!/usr/bin/env bash
# Compiles the stand-ins of the review with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -Xlint:all -Werror -d target/classes standins/burlarch/review/*.java

#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2. Needs a JDK and nothing else.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec javac -Xlint:all -d target/review-2 review/standins-2/review/*.java

#!/bin/sh
# Builds the stand-ins and the cases of the second review, into target/review-2. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=$(find review/common-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null || true)
javac -encoding UTF-8 --release 17 -d target/review-2 $sources

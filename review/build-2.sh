#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, into
# target/review-2. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$case/program.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common-2 \
    "$case/program.cc" -o "target/review-2/case-$(basename "$case")"
done

#!/bin/sh
# Builds the stand-ins of the third review into target/review-3; needs the
# compiler and the header of nlohmann-json3-dev, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -o "target/review-3/$name" \
    "$source"
done

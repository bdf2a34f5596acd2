#!/usr/bin/env bash
# Usage: check.sh BUILD_DIRECTORY
# Installs the library into BUILD_DIRECTORY/installed, then builds the example
# against it and runs the example.
set -eu
build=$1
here=$(cd "$(dirname "$0")" && pwd)
cmake --install "$build" --prefix "$build/installed" >/dev/null
cmake -S "$here" -B "$build/embed" -DCMAKE_PREFIX_PATH="$build/installed"
cmake --build "$build/embed"
"$build/embed/embed"

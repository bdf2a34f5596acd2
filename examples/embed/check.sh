#!/usr/bin/env bash
# Installs the library below a build directory, then builds and runs the example
# against what was installed.
set -eu
build=$1
here=$(cd "$(dirname "$0")" && pwd)
cmake --install "$build" --prefix "$build/installed" >/dev/null
cmake -S "$here" -B "$build/embed" -DCMAKE_PREFIX_PATH="$build/installed"
cmake --build "$build/embed"
"$build/embed/embed"

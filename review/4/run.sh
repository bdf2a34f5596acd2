#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] || exit 2
exec "$program" "$here/record.txt"

#!/usr/bin/env bash
# Regression runs on the users' bench: scores of the sites in use, one after the
# other, with the journal entries left in journal/.
# Usage: FLEETBENCH=<program> SITES=<directory of the site files>
#          tools/regression.sh [jobs] [why]
set -eu
cd "$(dirname "$0")/.."
jobs=${1:-4}
why=${2:-Regression runs}
failed=0
for site in large/kgrc-receipts-large grown/kgrc-receipts-grown \
  grown/dalea-orders-grown sites/kgrc-receipts sites/dalea-orders \
  further/paddock-sprig further-grown/paddock-sprig-grown \
  shifted/kgrc-receipts-now-grown demands/tui-rehearse-grown \
  demands/pflegeplan-isar-grown; do
  echo "== $site"
  "$FLEETBENCH" score "$SITES/$site.toml" --jobs "$jobs" --why "$why" |
    grep -E '^(score|GATE|quiet|trouble|scale|fresh)' || failed=1
done
exit $failed

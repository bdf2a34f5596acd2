#!/usr/bin/env bash
# The platform's names stand in platform/ and in the tests' stand-ins alone.
set -u
if git grep -nE 'Buckthornpath-[A-Z]|X-Api-Key|Kv-(From|Fetch)|kv-(range|watch|key|events|list|move)|op/config|servers/|authExempt|apiKeys|streamResume|targetLatencyMs' \
    -- src include bench examples; then
  echo "the lines above hold names of the platform outside platform/"
  exit 1
fi

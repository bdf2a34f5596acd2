#!/usr/bin/env bash
# Checks that src, include, bench and examples contain no names of the
# platform's interface: these belong in platform/ and in the fakes under test/.
set -u
if git grep -nE 'Buckthornpath-[A-Z]|X-Api-Key|Kv-(From|Fetch)|kv-(range|watch|key|events|list|move)|op/(config|evacuate)|servers/|authExempt|apiKeys|streamResume|targetLatencyMs' \
    -- src include bench examples; then
  echo "names of the platform outside platform/: see the lines above"
  exit 1
fi

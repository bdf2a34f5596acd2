#!/usr/bin/env bash
# Starts a fleet on loopback, sends chats with follow-up messages and a call of
# a plain service, kills a router during a streamed response, and prints the
# results. Exits with 0 if every response was complete and no call ran twice.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
bin=${BUCKTHORNPATH_BIN:-$here/../build}
tool=$bin/buckthornpath
export BUCKTHORNPATH_CREDENTIAL=parish-credential

# Each run has its own loopback network and its own temporary directory.
network="127.$((100 + $$ / 250 % 100)).$(($$ % 250))."
work=$(mktemp -d)
cp -r "$here/settings" "$here/documents" "$here/vms.json" "$work"
find "$work" -name '*.json' -exec sed -i "s/127\.77\.0\./$network/g" {} +
router_1=${network}201:7001
router_2=${network}202:7001

declare -A pids=()
finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -z "${BUCKTHORNPATH_KEEP:-}" ]; then rm -rf "$work"; fi
}
trap finish EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

start() { # name program arguments...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

wait_for() { # description command...: fails after 400 attempts, 50 ms apart
  local what=$1
  shift
  for _ in $(seq 400); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.05
  done
  fail "timed out: $what; set BUCKTHORNPATH_KEEP=1 to keep the logs"
}

is_ready() { # operator address
  local shown
  shown=$("$tool" show "$1") || return 1
  grep -q '^configuration_revision: 1$' <<<"$shown" &&
    grep -q '^members: 4$' <<<"$shown"
}

field() { # name file: value of a field that `send` printed
  sed -n "s/^$1: //p" "$2"
}

# Sends a call; the response goes to $work/<name>.out, the result to .err.
send() { # name arguments...
  local name=$1
  shift
  "$tool" send "$@" >"$work/$name.out" 2>"$work/$name.err" ||
    fail "$name: $(cat "$work/$name.err")"
}

report() { # name of a call
  local ticket endpoint
  ticket=$(field ticket "$work/$1.err")
  endpoint=$(cat "$work"/draft-*.log "$work"/ledger-*.log |
    grep -F "\"$ticket\"" | grep -o '"process":"[^"]*"' | head -n 1 |
    cut -d'"' -f4)
  printf '  %-22s through %s at %-18s complete: %s  %s\n' "$1" \
    "$(field router "$work/$1.err")" "${endpoint:-unknown}" \
    "$(field complete "$work/$1.err")" "$(field cached "$work/$1.err")"
}

echo "== Check and index the documents"
"$tool" check published "$work/documents" | sed "s|$work/|  |"
"$tool" index "$work/documents" --revision=1 >"$work/index"
mv "$work/index" "$work/documents/index"

echo "== Start a fleet of 2 routers and 4 endpoint processes of 2 services"
start platform "$bin/test/fake_platform" \
  --configuration="${network}200:7000" --vm-list="${network}200:7001" \
  --documents="$work/documents" --vms="$work/vms.json"
host=211
for endpoint in draft-1 draft-2 ledger-1 ledger-2; do
  fake=fake_engine
  if [ "${endpoint%-*}" = ledger ]; then fake=fake_service; fi
  start "$endpoint-engine" "$bin/test/$fake" \
    --address="$network$host:7003" --history="$work/runs.history"
  start "$endpoint" "$bin/buckthornpathd" --role=endpoint \
    --settings="$work/settings/$endpoint.json"
  host=$((host + 1))
done
for router in router-1 router-2; do
  start "$router" "$bin/buckthornpathd" --role=router \
    --settings="$work/settings/$router.json"
done
for host in 201 202 211 212 213 214; do
  wait_for "start of $network$host" is_ready "$network$host:7000"
done

echo "== Start six chats at one router and continue them through the other"
question="Our parish gave to the school roof in March and to the hospital \
auxiliary in June and we would like to know what the yearly statement says of"
for chat in 1 2 3 4 5 6; do
  send "chat-$chat-begins" --router="$router_1" --profile=counter \
    --chat="chat-$chat" --max-tokens=40 "Donor $chat asks. $question both."
  report "chat-$chat-begins"
done
reused=0
for chat in 1 2 3 4 5 6; do
  send "chat-$chat-returns" --router="$router_2" --profile=counter \
    --chat="chat-$chat" --max-tokens=40 \
    --location="$(field location "$work/chat-$chat-begins.err")" \
    "Donor $chat asks. $question both. \
$(cat "$work/chat-$chat-begins.out") And of the one in December?"
  report "chat-$chat-returns"
  cached=$(field cached "$work/chat-$chat-returns.err")
  if [ "${cached%% *}" -gt 0 ]; then reused=$((reused + 1)); fi
done
echo "  follow-up messages with a prefix cache hit: $reused of 6"

echo "== Send a call under a ticket, then send it again to the other router"
ticket=$("$tool" ticket --router="$router_1" --profile=receipt)
for router in "$router_1" "$router_2"; do
  name="receipt-by-${router##*.}"
  send "$name" --router="$router" --profile=receipt --ticket="$ticket" \
    --service-path=/ledger/issue --body='{"gift": 7}'
  report "$name"
done
runs=$(grep -cF "\"$ticket\"" "$work/runs.history" || true)
echo "  runs recorded by the service: $runs"
[ "$runs" = 1 ] || fail "call $ticket ran $runs times, expected 1"

echo "== Kill a router during a streamed response of 800 words"
"$tool" send --router="$router_1" --router="$router_2" --profile=statement \
  --max-tokens=800 "Draft the statement of the year." \
  >"$work/long-draft.out" 2>"$work/long-draft.err" &
sender=$!
has_begun() { [ "$(wc -w <"$work/long-draft.out")" -ge 20 ]; }
wait_for "first 20 words of the streamed response" has_begun
disown "${pids[router-1]}"
kill -9 "${pids[router-1]}"
wait "$sender" || fail "streamed response: $(cat "$work/long-draft.err")"
report long-draft
words=$(wc -w <"$work/long-draft.out")
ticket=$(field ticket "$work/long-draft.err")
runs=$(grep -cF "\"$ticket\"" "$work/runs.history" || true)
echo "  words received: $words of 800; runs recorded by the engine: $runs;" \
  "connections after the first: $(field resumed "$work/long-draft.err")"
[ "$words" = 800 ] || fail "streamed response incomplete: $words of 800 words"
[ "$runs" = 1 ] || fail "the streamed call ran $runs times, expected 1"

echo "== Drain the other processes"
for name in router-2:202 draft-1:211 draft-2:212 ledger-1:213 ledger-2:214; do
  "$tool" drain "$network${name#*:}:7000" >"$work/drain.out"
  wait "${pids[${name%:*}]}" || fail "${name%:*} did not exit with 0"
  unset "pids[${name%:*}]"
done
echo "  all exited with 0"
[ "$reused" = 6 ] || fail "prefix cache hits: $reused of 6 follow-up messages"
echo "Every response was complete; no call ran twice."

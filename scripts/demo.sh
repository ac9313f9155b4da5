#!/usr/bin/env bash
# Builds and runs a whole fleet on loopback: store, VM list, 3 VMs, 4 engines, 1 plain service.
# Sends streams and non-idempotent calls while an engine crashes and a VM is restarted. Exits 0 only
# if every stream was complete and in order and no call ran twice.
# scripts/demo.sh [--stay] [--no-build]
set -euo pipefail
cd "$(dirname "$0")/.."

stay=no
build=yes
for word in "$@"; do
  case "$word" in
    --stay) stay=yes ;;
    --no-build) build=no ;;
    *) echo "usage: scripts/demo.sh [--stay] [--no-build]" >&2; exit 2 ;;
  esac
done
[ "$build" = no ] || scripts/build.sh

readonly token=demo-admin-token
readonly streams=400 calls=120 seconds=12
readonly zones=(perth dundee forfar)
logs=$(mktemp -d)
declare -A pids=()

cleanup() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "demo: $1" >&2
  tail -n 5 "$logs"/*.log >&2 || true
  exit 1
}

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name.log" 2>&1 &
  pids[$name]=$!
}

# wait_for URL: until it answers 2xx
wait_for() {
  for _ in $(seq 100); do
    curl -sf -m 1 -o /dev/null "$1" && return
    sleep 0.1
  done
  fail "no answer from $1"
}

# N free ports
free_ports() {
  python3 -c '
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets: s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in sockets])' "$1"
}

read -r store_port list_port service_port e1 e2 e3 e4 v1 v2 v3 p1 p2 p3 <<<"$(free_ports 13)"
engine_ports=("$e1" "$e2" "$e3" "$e4")
vm_ports=("$v1" "$v2" "$v3")
peer_ports=("$p1" "$p2" "$p3")
vms=$(printf '127.0.0.1:%s,' "${vm_ports[@]}")
export TEASELDRIFT_STORE_ADDRESS=127.0.0.1:$store_port TEASELDRIFT_ADMIN_TOKEN=$token

ctl() { build/packages/ctl/teaseldriftctl "$@"; }

start_engine() {
  start "engine-$1" build/testing/standin-engine --port "${engine_ports[$1 - 1]}" \
    --token-ms 15 --prefill-us-per-token 20 --block-tokens 128 --slots 16
}

start_vm() {
  start "vm-$1" build/packages/router/teaseldriftd --vm-id "vm-$1" \
    --availability-zone "${zones[$1 - 1]}" --caller-port "${vm_ports[$1 - 1]}" \
    --peer-port "${peer_ports[$1 - 1]}" --store-address "127.0.0.1:$store_port" \
    --vm-list-address "127.0.0.1:$list_port" --admin-token "$token"
}

publish_vms() {
  local body="" i
  for i in 1 2 3; do
    body+="${body:+,}{\"id\":\"vm-$i\",\"address\":\"127.0.0.1\",\"caller_port\":${vm_ports[i - 1]}"
    body+=",\"peer_port\":${peer_ports[i - 1]},\"zone\":\"${zones[i - 1]}\",\"state\":\"live\"}"
  done
  curl -sf -X PUT -d "[$body]" "http://127.0.0.1:$list_port/vms" >/dev/null
}

start store build/testing/standin-store --port "$store_port"
start vm-list build/testing/standin-vm_list --port "$list_port"
start service build/testing/standin-plain_service --port "$service_port"
for i in 1 2 3 4; do start_engine "$i"; done
wait_for "http://127.0.0.1:$list_port/vms"
wait_for "http://127.0.0.1:$service_port/runs"
for i in 1 2 3 4; do wait_for "http://127.0.0.1:${engine_ports[i - 1]}/health"; done
publish_vms

ctl defaults set --entry-lifetime-ms 1000
ctl model create round-writer --weights-version 1 --block-tokens 128
for i in 1 2 3 4; do
  ctl target create "engine-$i" --address 127.0.0.1 --port "${engine_ports[i - 1]}" --kind engine \
    --models round-writer --availability-zone "${zones[i % 3]}" --slots 16
done
ctl target create round-book-1 --address 127.0.0.1 --port "$service_port" --kind plain-service \
  --service round-book --availability-zone perth --slots 64
ctl route create /bills --route-class non-idempotent --service round-book
for name in kinloch-baird shop-eleven; do
  ctl organisation create "$name" --rate-tokens-per-s 400000 --burst-tokens 800000
done
for i in 1 2 3; do start_vm "$i"; done
for port in "${vm_ports[@]}"; do wait_for "http://127.0.0.1:$port/healthz"; done
export TEASELDRIFT_VMS=${vms%,}
key=$(ctl key create kinloch-baird)
second_key=$(ctl key create shop-eleven)
for port in "${vm_ports[@]}"; do wait_for "http://127.0.0.1:$port/readyz"; done
ctl status

if [ "$stay" = yes ]; then
  echo
  echo "VMs:     ${TEASELDRIFT_VMS//,/ }"
  echo "store:   127.0.0.1:$store_port    VM list: 127.0.0.1:$list_port"
  echo "engines: ${engine_ports[*]}    plain service: $service_port    logs: $logs"
  echo "key:     $key"
  echo
  echo "curl -N http://127.0.0.1:$v1/v1/chat/completions -H 'Authorization: Bearer $key' -d" \
    "'{\"model\":\"round-writer\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Good morning\"}]}'"
  echo
  echo "End with Ctrl-C."
  wait
  exit 0
fi

echo
echo "streams: $streams, non-idempotent calls: $calls, over $seconds s"
ctl load --entry --key "$key,$second_key" --requests "$streams" --rate $((streams / seconds)) \
  --level-tokens 256 --max-tokens 48 --verify-standin --fail-on-refusal --quiet \
  --json-file "$logs/streams.json" >"$logs/streams.txt" 2>"$logs/streams.log" &
streams_pid=$!
ctl load --entry --key "$key,$second_key" --plain /bills/charge --requests "$calls" \
  --rate $((calls / seconds)) --verify-standin --fail-on-refusal --quiet \
  --json-file "$logs/calls.json" >"$logs/calls.txt" 2>"$logs/calls.log" &
calls_pid=$!

sleep 3
echo "engine-2 crashes"
curl -s -m 1 -d '{"mode":"crash"}' "http://127.0.0.1:${engine_ports[1]}/fault" >/dev/null || true
wait "${pids[engine-2]}" 2>/dev/null || true
sleep 1.5
echo "engine-2 comes back empty"
start_engine 2
sleep 1
echo "vm-2 is stopped"
kill -TERM "${pids[vm-2]}"
vm_exit=0
wait "${pids[vm-2]}" || vm_exit=$?
echo "vm-2 ended with exit code $vm_exit and starts again"
start_vm 2
wait_for "http://127.0.0.1:${vm_ports[1]}/readyz"

streams_exit=0
calls_exit=0
wait "$streams_pid" || streams_exit=$?
wait "$calls_pid" || calls_exit=$?
echo
echo "== streams"
cat "$logs/streams.txt" "$logs/streams.log"
echo "== non-idempotent calls"
cat "$logs/calls.txt" "$logs/calls.log"
echo "== retries by reason, since each VM's start"
for port in "${vm_ports[@]}"; do
  curl -sf "http://127.0.0.1:$port/metrics" | grep '^teaseldrift_retries_total' || true
done | awk '{ sum[$1] += $2 } END { for (name in sum) if (sum[name] > 0) print sum[name], name }'
echo
curl -sf "http://127.0.0.1:$service_port/runs" >"$logs/runs.json"
python3 - "$logs" "$vm_exit" "$streams_exit" "$calls_exit" <<'PYTHON'
import json, sys
logs, vm_exit, streams_exit, calls_exit = sys.argv[1], *map(int, sys.argv[2:])
streams = json.load(open(logs + "/streams.json"))
calls = json.load(open(logs + "/calls.json"))
runs = json.load(open(logs + "/runs.json"))
checks = [
    ("every stream complete", streams["completed"], streams["sent"]),
    ("streams out of order", streams["out_of_order"], 0),
    ("streams with wrong text", streams["wrong_text"], 0),
    ("calls answered", calls["completed"], calls["sent"]),
    ("calls that ran", runs["calls"], calls["sent"]),
    ("calls that ran twice", runs["repeated"], 0),
    ("keys seen by the service", runs["keys_seen"], 0),
    ("exit code of the stopped VM", vm_exit, 0),
    ("exit codes of the loads", streams_exit + calls_exit, 0),
]
print("== checks")
for name, seen, wanted in checks:
    print(f"{'ok  ' if seen == wanted else 'FAIL'}  {name}: {seen} (wanted {wanted})")
sys.exit(0 if all(seen == wanted for _, seen, wanted in checks) else 1)
PYTHON

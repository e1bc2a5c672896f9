#!/usr/bin/env bash
# Runs a simulated platform, simulated backend servers and three entry VMs on
# loopback until interrupted, then stops everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."
pids=()
finish() {
  trap - EXIT INT TERM
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  wait
}
trap finish EXIT
trap 'exit 0' INT TERM

start() { "$@" & pids+=($!); }

start bin/standin platform --address 127.0.0.1:7000 --control 127.0.0.1:7009 \
  --table examples/demo/table --vms examples/demo/vms.json
servers=127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203,127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303
start bin/standin backend --address "$servers" --control 127.0.0.1:7209 \
  --slots 6 --connections 200 --service-time 5ms --spread 0.5
for i in 1 2 3; do
  start bin/lentilbend serve --settings "examples/demo/entry-$i.toml"
done

call="curl -s -H 'Authorization: Bearer demo-counter-key' http://127.0.0.1:8081/catalogue/rose"
ready() {
  for p in 9081 9082 9083; do
    curl -sf -o /dev/null "http://127.0.0.1:$p/readyz" || return 1
  done
  eval "$call -f -o /dev/null"
}
for _ in $(seq 200); do
  if ready; then
    echo Ready
    echo "$call"
    wait
    exit 0
  fi
  sleep 0.1
done
echo "no answer within 20 s" >&2
exit 1

#!/usr/bin/env bash
# Measures how configuration changes propagate on 9 VMs: the time from acceptance
# until all daemons apply the change, the CPU time and TCP traffic of each daemon,
# and the store calls by cause.
# Usage: scripts/propagation.sh [up|cut|down]; default up
#   up    every agent can reach the store
#   cut   only vm1's agent can reach the store; the others' connections are refused
#   down  measures how long a VM that starts while the store is down takes to become ready
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
mode=${1:-up}
dir=out/${LAB_DIR:-propagation}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# For cut, the agents of vm2 to vm9 get a store address where nothing listens.
if [ "$mode" = cut ]; then
  lab_configure() { sed -i 's#"store": "[^"]*"#"store": "http://127.0.0.1:9"#' "$dir"/vm[2-9]/agent.jsonc; }
fi
lab_up "$dir" 9 examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
export HQ_STORE=$STORE

# record_usage FILE : writes the CPU ticks and the bytes sent and received over TCP of each daemon to the file.
record_usage() {
  local pid name
  for pid in "${LAB_PIDS[@]}"; do
    name=$(tr '\0' '\n' <"/proc/$pid/cmdline" | sed -n 's#^bin/hq-##p' | head -1)
    echo "$name $(awk '{print $14+$15}' "/proc/$pid/stat") $(ss -tinpH state established 2>/dev/null |
      awk -v p="pid=$pid," 'index($0,p){on=1;next} on{for(i=1;i<=NF;i++)if($i~/^bytes_(sent|received):/){split($i,a,":");n+=a[2]};on=0} END{print n+0}')"
  done >"$1"
}

# print_usage SECONDS BEFORE AFTER : prints the mean usage per daemon of each program between two recorded files.
print_usage() {
  paste "$2" "$3" | awk -v s="$1" '{c[$1]++; t[$1]+=$5-$2; b[$1]+=$6-$3}
    END{for(n in c)if(n!="standin")printf "  %-9s %d daemons, each %.2f%% of a core, %.2f KB/s sent and received\n",n,c[n],t[n]/c[n]/s,b[n]/c[n]/s/1000}' | sort
}

# store_calls : prints the agents' totals of store calls by cause and of configuration syncs and snapshots.
store_calls() {
  for vm in $(seq 1 9); do curl -fsS "http://$(lab_admin "$dir/vm$vm/agent.jsonc")/metrics"; done |
    jq -s -c 'map(to_entries[]|select(.key|test("store.calls|config\\.(syncs|snapshots)")))|group_by(.key)|map({key:.[0].key,value:(map(.value.count)|add)})|from_entries'
}

if [ "$mode" = down ]; then
  sleep 6
  curl -fsS -X PUT -d '{"down":true}' "$STANDIN/store/faults" >/dev/null
  for p in agent dispatch entry; do
    pid=$(grep -lsF "vm9/$p.jsonc" /proc/[0-9]*/cmdline | head -1 | cut -d/ -f3)
    kill -TERM "$pid"
    wait "$pid"
  done
  start=$(date +%s%N)
  for p in agent dispatch entry; do lab_start "$dir/vm9/$p.log" "bin/hq-$p" --config "$dir/vm9/$p.jsonc"; done
  for p in agent dispatch entry; do lab_wait "http://$(lab_admin "$dir/vm9/$p.jsonc")/readyz" || exit 1; done
  echo "store down: VM ready after $((($(date +%s%N) - start) / 1000000)) ms"
  curl -fsS -X PUT -d '{}' "$STANDIN/store/faults" >/dev/null
  exit 0
fi
sleep 8
record_usage "$dir/u0"
sleep 8
record_usage "$dir/u1"
echo "idle, no load:"
print_usage 8 "$dir/u0" "$dir/u1"
store_calls
for rate in 1.3 13; do
  n=$(awk -v r=$rate 'BEGIN{print int(r*12)}')
  record_usage "$dir/u0"
  start=$SECONDS
  bin/hqctl --timeout 60s drill --changes "$n" --per-second "$rate" bot-workers || exit 1
  record_usage "$dir/u1"
  print_usage $((SECONDS - start)) "$dir/u0" "$dir/u1"
  store_calls
done

#!/usr/bin/env bash
# Measures store calls by cause and ownership changes of key groups, with real
# processes under load, in six phases: steady state, a target killed, the same
# target restarted, a VM killed, the store down, the store up again.
# Usage: scripts/churn.sh [DIR]
# Environment: VMS is the number of VMs; SETTLE is the warm-up and PHASE the length of a phase, in seconds.
# Prints one line per phase and writes the agents' journals to DIR. The calls of the last VM's agent are not counted,
# because that VM is killed.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=${1:-out/churn}
vms=${VMS:-9} phase=${PHASE:-7}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# store_calls : prints the total number of store calls for each cause as a JSON object.
store_calls() {
  local vm
  for vm in $(seq 1 $((vms - 1))); do
    curl -fsS "http://$(lab_admin "$dir/vm$vm/agent.jsonc")/metrics"
  done | jq -cs '[.[] | to_entries[] | select(.key | startswith("store.calls.")) | {key: .key[12:], value: .value.count}]
    | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries'
}

# owners : prints the owner of each group as a JSON object, read from the grants in the view of vm1's dispatcher.
owners() {
  curl -fsS "http://$(lab_admin "$dir/vm1/dispatch.jsonc")/dump" |
    jq -c '[.sections[] | select(.name == "view") | .value.grants[] | {key: "\(.Service)/\(.Group)", value: .Target.name}] | from_entries'
}

# run_phase NAME [COMMAND] : runs the command, waits for the length of a phase and prints the store calls per second
# and the ownership changes.
run_phase() {
  local c0 o0 s0 s1
  c0=$(store_calls) o0=$(owners) s0=$(date +%s%N)
  [ -z "${2:-}" ] || eval "$2"
  sleep "$phase"
  s1=$(date +%s%N)
  jq -nr --arg n "$1" --argjson s "$((s1 - s0))" --argjson a "$c0" --argjson b "$(store_calls)" --argjson o "$o0" --argjson p "$(owners)" '
    ($b | to_entries | map({key, value: ((.value - ($a[.key] // 0)) * 1e10 / $s | round / 10)})) as $r
    | "\($n): calls/s \($r | map("\(.key) \(.value)") | join(", ")); sum \($r | map(.value) | add * 10 | round / 10); owners changed \([$p | to_entries[] | select($o[.key] != null and $o[.key] != .value)] | length) of \($p | length)"'
}

lab_up "$dir" "$vms" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
bin/hq-load run --config "$dir/load.jsonc" --json "$dir/report.json" --duration 120s >"$dir/report.txt" 2>&1 &
load=$!
LAB_PIDS+=("$load")
sleep "${SETTLE:-6}"
owned=$(owners | jq '[.[] | select(. == "shelf-3")] | length')
run_phase "steady"
run_phase "target lost (owned $owned)" 'curl -fsS -X POST "$STANDIN/targets/shelf-3/kill"'
run_phase "target back" 'curl -fsS -X POST "$STANDIN/targets/shelf-3/restart"'
run_phase "VM lost" 'kill -KILL ${LAB_PIDS[@]:1+3*(vms-1):3}'
run_phase "store down" 'curl -fsS -o /dev/null -X PUT "$STANDIN/store/faults" -d "{\"down\": true}"'
run_phase "store back" 'curl -fsS -o /dev/null -X PUT "$STANDIN/store/faults" -d "{\"down\": false}"'
for vm in $(seq 1 $((vms - 1))); do
  curl -fsS "http://$(lab_admin "$dir/vm$vm/agent.jsonc")/journal" >"$dir/journal.vm$vm.json"
done
kill -INT "$load" 2>/dev/null
lab_stop 2>/dev/null
exit 0

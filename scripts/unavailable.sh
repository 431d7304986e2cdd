#!/usr/bin/env bash
# Measures the unavailable time of keys after losses, with real processes.
# Usage: scripts/unavailable.sh CASE STORE RUNS [DIR]
#   CASE   owner | grantor | both | pause | move: what is lost 3 s into the load;
#          a grantor is lost with its whole VM, pause stops its agent for 1.5 s,
#          move writes a planned move of the target's groups
#   STORE  up | down: down from 0.5 s before the loss to the end
# BASELINE=1 in the environment: leases of 2 s renewed through the store instead.
# Prints one line per run: keys that were unavailable, p50 and worst, ms.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
case=$1 store=$2 runs=$3 dir=${4:-out/unavailable}
vms=${VMS:-9}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# grantor_of TARGET : the VM whose agent grants the target's group.
grantor_of() {
  local vm
  for vm in $(seq 1 "$vms"); do
    curl -fsS "http://$(lab_admin "$dir/vm$vm/agent.jsonc")/dump" |
      jq -e --arg t "$1" '.sections[] | select(.name == "agent") | .value.granted // [] | any(.Target.name == $t)' >/dev/null &&
      { echo "$vm"; return; }
  done
}

# pids_of VM : its daemons, in the order agent, dispatch, entry.
pids_of() { echo "${LAB_PIDS[@]:1+3*($1-1):3}"; }

lose() {
  case $case in
  owner) curl -fsS -X POST "$STANDIN/targets/$target/kill" ;;
  grantor) kill -KILL $(pids_of "$vm") ;;
  both)
    curl -fsS -X POST "$STANDIN/targets/$target/kill" &
    kill -KILL $(pids_of "$vm")
    wait $!
    ;;
  move)
    local object=$STORE/apis/hemlockquay.example/v1/quayobjects/assignment.shelf
    curl -fsS "$object" | jq --arg t "$target" '.spec.groups |= map(if .owner.name == $t then .moveTo = .standby.name else . end)' |
      curl -fsS -X PUT "$object" -d @- >/dev/null
    ;;
  pause)
    set -- $(pids_of "$vm")
    kill -STOP "$1"
    (sleep 1.5; kill -CONT "$1") &
    ;;
  esac
}

# lab_start, with the baseline's settings if it is asked for.
if [ -n "${BASELINE:-}" ]; then
  eval "plain_$(declare -f lab_start)"
  lab_start() {
    case $2 in
    */hq-agent) sed -i '0,/{/s//{"storeLeases": true, "authority": "2s",/' "$4" ;;
    esac
    plain_lab_start "$@"
  }
fi

one() {
  trap 'lab_stop; exit 130' INT TERM
  trap lab_stop EXIT
  lab_up "$dir" "$vms" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || return 1
  sleep "${SETTLE:-2}"
  target=shelf-$((1 + RANDOM % 12))
  vm=$(grantor_of "$target")
  [ -n "$vm" ] || { echo "nobody grants $target" >&2; return 1; }
  local entry
  entry=$(sed -n 's/.*"listen": "\([^"]*\)".*/\1/p' "$dir/vm$vm/entry.jsonc")
  jq --arg e "$entry" '{entries: [.entries[] | select(contains($e) | not)], standin, duration: "7s",
    workloads: [.workloads[] | select(.service == "shelf")][:1] | map({customer, token, service, rate: 1000, keys: 60, deadline: "1s", workUs: 1000, arrivals: "even"})}' \
    "$dir/load.jsonc" >"$dir/unavailable.jsonc"
  bin/hq-load run --config "$dir/unavailable.jsonc" --json "$dir/report.json" >"$dir/report.txt" &
  local load=$!
  sleep 2.5
  [ "$store" = down ] && curl -fsS -X PUT "$STANDIN/store/faults" -d '{"down": true}' >/dev/null
  sleep 0.5
  lose
  wait $load
  jq -r --arg w "$case store $store $target vm$vm" '.workloads[0].keys | "\($w): unavailable \(.unavailable) p50 \(.unavailableP50ms) worst \(.unavailableWorstms) ms, moves \(.moves)"' "$dir/report.json"
  curl -fsS -X PUT "$STANDIN/store/faults" -d '{"down": false}' >/dev/null
}

for _ in $(seq "$runs"); do
  for try in 1 2 3; do one && break; lab_stop 2>/dev/null; LAB_PIDS=(); done
  lab_stop 2>/dev/null
done
exit 0

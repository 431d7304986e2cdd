#!/usr/bin/env bash
# Measures how long keys are unavailable after a failure, with real processes on
# 9 VMs. Each window of 5 s has one failure, 2 s after its start; whatever failed
# is restarted at the end of the window.
# Usage: scripts/unavailable.sh [DIR]
# Environment:
#   CASES      the failures to measure, each with the store up or down; default all
#   REPEATS    how many times to measure, each time with new processes; default 1
#   LAB_AGENT  JSON merged into each agent's settings, for instance {"grantLife": "600ms"}
# All cases together take about 80 s per repeat. Prints for each failure the number
# of requests, of refused ones and of those with unknown outcome, the keys that were
# unavailable, and their median and longest unavailable time in ms. Writes
# DIR.report.N.json and DIR.journals.N.json. A grantor fails together with its whole
# VM, a data centre with all its VMs and targets.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=${1:-out/unavailable}
vms=9 loaded=4 # Requests enter at VMs 1 to 4; VMs to fail are chosen from the others, except an assigner's.
window=5 settle=8
read -ra cases <<<"${CASES:-none-up move-up pause-up owner-up owner-down grantor-up grantor-down both-up both-down dc-up dc-down assigner-up agent-up}"

trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# lab_configure is called by lab_up before any process starts.
lab_configure() {
  [ -n "${LAB_AGENT:-}" ] || return 0
  local f
  for f in "$dir"/vm*/agent.jsonc; do
    sed -i "0,/{/s//{ ${LAB_AGENT:1:-1},/" "$f"
  done
}

# dump_agent VM : prints the state dump of the VM's agent.
dump_agent() { curl -fsS -m 1 "http://$(lab_admin "$dir/vm$1/agent.jsonc")/dump"; }

# choose_target : sets target to a target of shelf and vm to the VM of its grantor,
# which is one where no requests enter.
choose_target() {
  for vm in $(seq $((loaded + 1)) $vms); do
    for target in $(dump_agent "$vm" |
      jq -r '.sections[] | select(.name == "agent") | .value.granted // [] | .[] | select(.Service == "shelf") | .Target.name' | shuf -n 1); do
      return 0
    done
  done
  return 1
}

# choose_assigner : sets vm to the VM of the assigner of shelf. Requests may enter there.
choose_assigner() {
  vm=$(curl -fsS -m 1 "$STORE/apis/hemlockquay.example/v1/quayobjects/assigner.shelf" | jq -r '.spec.holder' | sed 's/^vm\([0-9]*\).*/\1/')
  target=-
  [[ $vm =~ ^[0-9]+$ ]]
}

# choose_data_centre : sets centre to the data centre of one of the three VMs after
# those where requests enter, a different one each time: a restarted data centre owns
# few keys at first.
centres=0
choose_data_centre() {
  vm=$((loaded + 1 + centres % 3))
  centres=$((centres + 1))
  centre=$(sed -n 's/.*"dataCentre": "\([^"]*\)".*/\1/p' "$dir/vm$vm/agent.jsonc")
  target=$centre
  lost_targets=$(targets_of "$centre") # Read while the store is still up.
}
# vms_of DATA_CENTRE : prints the numbers of the VMs there.
vms_of() { grep -l "\"dataCentre\": \"$1\"" "$dir"/vm*/agent.jsonc | sed 's|.*/vm\([0-9]*\)/.*|\1|'; }
# targets_of DATA_CENTRE : prints the names of the targets of shelf there.
targets_of() { curl -fsS "$STORE/apis/hemlockquay.example/v1/quayobjects/service.shelf" | jq -r --arg c "$1" '.spec.targets[] | select(.dataCentre == $c) | .name'; }

# first_pid VM : prints the index in LAB_PIDS of the VM's agent. LAB_PIDS holds the
# stand-in, then agent, dispatch and entry of each VM.
first_pid() { echo $((1 + 3 * ($1 - 1))); }
kill_vm() { kill -KILL "${LAB_PIDS[@]:$(first_pid "$1"):3}"; }
# start_daemon VM INDEX : starts the VM's agent (0), dispatch (1) or entry (2).
start_daemon() {
  local programs=(agent dispatch entry) p=${programs[$2]}
  "bin/hq-$p" --config "$dir/vm$1/$p.jsonc" >>"$dir/vm$1/$p.log" 2>&1 &
  LAB_PIDS[$(($(first_pid "$1") + $2))]=$!
}
start_vm() { for p in 0 1 2; do start_daemon "$1" $p; done; }
kill_target() { curl -fsS -X POST "$STANDIN/targets/$1/kill"; }
start_target() { curl -fsS -X POST "$STANDIN/targets/$1/restart"; }
# set_store_down true|false : makes the store unavailable or available again.
set_store_down() { curl -fsS -X PUT "$STANDIN/store/faults" -d "{\"down\": $1}" >/dev/null; }

# move_to_standby TARGET : requests in the assignment record that the groups of the
# target move to their standby. Does not use jq, which rounds the 64-bit bounds of slices.
move_to_standby() {
  python3 - "$STORE/apis/hemlockquay.example/v1/quayobjects/assignment.shelf" "$1" <<'PY'
import json, sys, urllib.error, urllib.request
for _ in range(20):
    item = json.load(urllib.request.urlopen(sys.argv[1]))
    for g in item["spec"]["groups"]:
        if g["owner"]["name"] == sys.argv[2]:
            g["moveTo"] = g["standby"]["name"]
    put = urllib.request.Request(sys.argv[1], json.dumps(item).encode(), method="PUT")
    try:
        urllib.request.urlopen(put)
        break
    except urllib.error.HTTPError:
        pass
PY
}

# choose_victim CASE : sets the variables that inject_failure uses for the case.
choose_victim() {
  case $1 in
  dc-*) choose_data_centre ;;
  assigner-*) choose_assigner ;;
  *) choose_target ;;
  esac
}

# inject_failure CASE : causes the failure of the case.
inject_failure() {
  local agent v t
  agent=${LAB_PIDS[$(first_pid "$vm")]}
  case $1 in
  owner-*) kill_target "$target" ;;
  grantor-* | assigner-*) kill_vm "$vm" ;;
  both-*)
    kill_target "$target" &
    kill_vm "$vm"
    wait $!
    ;;
  dc-*)
    for t in $lost_targets; do kill_target "$t" & done
    for v in $(vms_of "$centre"); do kill_vm "$v"; done
    ;;
  agent-*)
    kill -KILL "$agent"
    sleep 1
    start_daemon "$vm" 0
    ;;
  move-*) move_to_standby "$target" ;;
  pause-*)
    kill -STOP "$agent"
    sleep 1.5
    kill -CONT "$agent"
    ;;
  esac
}

# restart_failed CASE : restarts what inject_failure stopped.
restart_failed() {
  local v t
  case $1 in
  owner-*) start_target "$target" ;;
  grantor-* | assigner-*) start_vm "$vm" ;;
  both-*) start_target "$target" && start_vm "$vm" ;;
  dc-*)
    for t in $lost_targets; do start_target "$t"; done
    for v in $(vms_of "$centre"); do start_vm "$v"; done
    ;;
  esac
}

# wait_until SECONDS : waits until the given time after the start of the load.
wait_until() { sleep "$(echo "$begin + $1 - $(date +%s.%N)" | bc | sed 's/^-.*/0/')"; }

# start_with_retries : starts all processes, in 4 attempts at most: another process may take a port between planning
# and start.
start_with_retries() {
  local try
  for try in 1 2 3 4; do
    lab_up "$dir" $vms examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc && return 0
    lab_stop 2>/dev/null
    trap 'lab_stop; exit 130' INT TERM
    trap 'lab_stop' EXIT
  done
  return 1
}

# save_journals : prints the journals and the counts of refusals of the agents and dispatchers that run, as JSON lines.
save_journals() {
  local f
  for f in "$dir"/vm*/{agent,dispatch}.jsonc; do
    curl -fsS -m 2 "http://$(lab_admin "$f")/journal" | jq -c --arg f "${f#"$dir"/}" '{from: $f, journal: .}'
    curl -fsS -m 2 "http://$(lab_admin "$f")/metrics" | jq -c --arg f "${f#"$dir"/}" '{from: $f, refused: (with_entries(select((.key | contains("refused")) and .value.count > 0)))}'
  done
}

# measure N : starts all processes, runs all cases and writes report and journals number N.
measure() {
  local i case load names=()
  start_with_retries || return 1
  sleep $settle
  jq --argjson n ${#cases[@]} --argjson w $window --argjson e $loaded '
    [.workloads[] | select(.service == "shelf")][0] as $l |
    {entries: .entries[:$e], standin, duration: "\($n * $w)s",
     workloads: [range($n) | {customer: $l.customer, token: $l.token, service: "shelf", rate: 1000, keys: 48, deadline: "1s",
       workUs: 1000, arrivals: "even", start: "\(. * $w)s", stop: "\((. + 1) * $w)s"}]}' "$dir/load.jsonc" >"$dir/unavailable.jsonc"
  bin/hq-load run --config "$dir/unavailable.jsonc" --json "$dir/report.json" >"$dir/report.txt" &
  load=$!
  begin=$(date +%s.%N)
  for i in "${!cases[@]}"; do
    case=${cases[i]}
    wait_until "$((i * window + 1)).2"
    choose_victim "$case" || { names+=("$case: skipped, found nothing to fail"); continue; }
    names+=("$case $target vm$vm")
    wait_until "$((i * window + 1)).6"
    [[ $case == *-down ]] && set_store_down true
    wait_until $((i * window + 2))
    inject_failure "$case"
    wait_until "$((i * window + window)).0"
    [[ $case == *-down ]] && set_store_down false
    restart_failed "$case"
  done
  wait $load
  for i in "${!names[@]}"; do
    jq -r --arg c "${names[i]}" --argjson i "$i" '.workloads[$i] |
      "\($c): sent \(.sent) refused \(.refused) unknown \(.unknown) p99 \(.p99ms), keys \(.keys | "\(.keys) unavailable \(.unavailable) p50 \(.unavailableP50ms) worst \(.unavailableWorstms) moves \(.moves)")"' "$dir/report.json"
  done
  save_journals >"$dir.journals.$1.json"
  lab_stop 2>/dev/null
  cp "$dir/report.json" "$dir.report.$1.json"
  trap 'lab_stop; exit 130' INT TERM
  trap 'lab_stop' EXIT
}

for n in $(seq 1 "${REPEATS:-1}"); do
  echo "run $n, load average $(cut -d' ' -f1 /proc/loadavg)"
  measure "$n" || exit 1
done
trap - EXIT
exit 0

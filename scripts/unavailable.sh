#!/usr/bin/env bash
# Measures the unavailable time of keys after losses, with real processes: one
# system of 9 VMs, one loss in each window of 5 s, 2 s after its start.
# Usage: scripts/unavailable.sh [DIR]
# BASELINE=1 in the environment: leases of 2 s renewed through the store instead,
# and windows of 7 s.
# Prints for each loss: requests, how many were not answered, keys that were
# unavailable, their median and worst, ms. A grantor is lost with its whole VM.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=${1:-out/unavailable}
vms=9 loaded=4 # requests enter at VMs 1 to 4; the VMs that are lost are others
window=5 settle=2
cases=(none-up move-up pause-up owner-up owner-down both-up grantor-up grantor-down)

if [ -n "${BASELINE:-}" ]; then
  window=7 settle=5
  cases=(none-up owner-up owner-down both-up)
  eval "plain_$(declare -f lab_start)"
  lab_start() {
    case $2 in
    */hq-agent) sed -i '0,/{/s//{"storeLeases": true, "authority": "2s",/' "$4" ;;
    esac
    plain_lab_start "$@"
  }
fi
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

lost=" "
# choose : sets target and vm: a target of shelf, not lost before, whose grantor
# is on a VM that takes no requests.
choose() {
  local n
  for vm in $(seq $((loaded + 1)) $vms); do
    [[ $lost == *" vm$vm "* ]] && continue
    for target in $(curl -fsS -m 1 "http://$(lab_admin "$dir/vm$vm/agent.jsonc")/dump" |
      jq -r '.sections[] | select(.name == "agent") | .value.granted // [] | .[] | select(.Service == "shelf") | .Target.name'); do
      [[ $lost == *" $target "* ]] || return 0
    done
  done
  return 1
}

pids_of() { echo "${LAB_PIDS[@]:1+3*($1-1):3}"; }
kill_vm() {
  lost+="vm$1 "
  # shellcheck disable=SC2046
  kill -KILL $(pids_of "$1")
}
kill_target() { curl -fsS -X POST "$STANDIN/targets/$1/kill"; }
store_down() { curl -fsS -X PUT "$STANDIN/store/faults" -d "{\"down\": $1}" >/dev/null; }

# edit PYTHON : changes the groups of shelf's record, a list named groups, by a
# conditional write. Not by jq, which rounds the 64-bit bounds of slices.
edit() {
  python3 - "$STORE/apis/hemlockquay.example/v1/quayobjects/assignment.shelf" "$1" <<'PY'
import json, sys, urllib.error, urllib.request
for _ in range(20):
    item = json.load(urllib.request.urlopen(sys.argv[1]))
    exec(sys.argv[2], {"groups": item["spec"]["groups"]})
    put = urllib.request.Request(sys.argv[1], json.dumps(item).encode(), method="PUT")
    try:
        urllib.request.urlopen(put)
        break
    except urllib.error.HTTPError:
        pass
PY
}

move() {
  edit "
for g in groups:
    if g['owner']['name'] == '$1': g['moveTo'] = g['standby']['name']"
}

# fill_lines : a record planned while VMs start may name too few grantors.
fill_lines() {
  edit "
for n, g in enumerate(groups):
    others = ['vm%d' % (1 + (n + k) % $vms) for k in range($vms)]
    g['grantors'] += [vm for vm in others if vm not in g['grantors']][:max(0, 3 - len(g['grantors']))]
    g['epoch'] += 1"
}

lose() {
  case $1 in
  owner-*) kill_target "$target" ;;
  grantor-*) kill_vm "$vm" ;;
  both-*)
    kill_target "$target" &
    kill_vm "$vm"
    wait $!
    ;;
  move-*) move "$target" ;;
  pause-*)
    local agent
    agent=$(pids_of "$vm" | cut -d' ' -f1)
    kill -STOP "$agent"
    sleep 1.5
    kill -CONT "$agent"
    ;;
  esac
}

# at SECONDS : waits until so long after the start of the load.
at() { sleep "$(echo "$begin + $1 - $(date +%s.%N)" | bc | sed 's/^-.*/0/')"; }

# Another process may take a port between plan and start: then all over again.
for try in 1 2 3; do
  lab_up "$dir" $vms examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc && break
  lab_stop 2>/dev/null
  trap 'lab_stop; exit 130' INT TERM
  trap 'lab_stop' EXIT
  [ "$try" = 3 ] && exit 1
done
sleep $settle
fill_lines
sleep $settle
jq --argjson n ${#cases[@]} --argjson w $window --argjson e $loaded '
  [.workloads[] | select(.service == "shelf")][0] as $l |
  {entries: .entries[:$e], standin, duration: "\($n * $w)s",
   workloads: [range($n) | {customer: $l.customer, token: $l.token, service: "shelf", rate: 1000, keys: 48, deadline: "1s",
     workUs: 1000, arrivals: "even", start: "\(. * $w)s", stop: "\((. + 1) * $w)s"}]}' "$dir/load.jsonc" >"$dir/unavailable.jsonc"
bin/hq-load run --config "$dir/unavailable.jsonc" --json "$dir/report.json" >"$dir/report.txt" &
load=$!
begin=$(date +%s.%N)
names=()
for i in "${!cases[@]}"; do
  case=${cases[i]}
  at "$((i * window)).5"
  choose || { echo "no target to lose for $case" >&2; break; }
  names+=("$case $target vm$vm")
  at "$((i * window + 1)).5"
  [[ $case == *-down ]] && store_down true
  at $((i * window + 2))
  lose "$case"
  at "$((i * window + window)).0"
  store_down false
  [[ $case == owner-* || $case == both-* ]] && { lost+="$target "; curl -fsS -X POST "$STANDIN/targets/$target/restart"; }
done
wait $load
for i in "${!names[@]}"; do
  jq -r --arg c "${names[i]}" --argjson i "$i" '.workloads[$i] |
    "\($c): sent \(.sent) refused \(.refused) unknown \(.unknown) p99 \(.p99ms), keys \(.keys | "\(.keys) unavailable \(.unavailable) p50 \(.unavailableP50ms) worst \(.unavailableWorstms) moves \(.moves)")"' "$dir/report.json"
done
lab_stop 2>/dev/null
exit 0

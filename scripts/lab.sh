# Functions for runs on one machine; sourced by demo.sh and the experiments.
# Every process that is started is stopped by lab_stop, which also runs at exit
# and on Ctrl-C. Needs bash; uses only loopback addresses.

LAB_PIDS=()

# lab_start DIR PROGRAM ARGS... : starts a process, its log in DIR/NAME.log.
lab_start() {
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  LAB_PIDS+=($!)
}

# lab_stop : graceful shutdown of all, newest first; kills what stays for 100 s.
lab_stop() {
  local failed=0 i pid
  trap - EXIT INT TERM
  for ((i = ${#LAB_PIDS[@]} - 1; i >= 0; i--)); do
    kill -TERM "${LAB_PIDS[i]}" 2>/dev/null
  done
  for pid in "${LAB_PIDS[@]}"; do
    timeout 100 tail --pid="$pid" -f /dev/null || kill -KILL "$pid" 2>/dev/null
    wait "$pid" || failed=1
  done
  LAB_PIDS=()
  return $failed
}

# lab_wait URL : waits until the URL answers 200, 20 s at most.
lab_wait() {
  local i
  for ((i = 0; i < 200; i++)); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "not ready after 200 attempts: $1" >&2
  return 1
}

# lab_admin FILE : the admin address in a settings file.
lab_admin() { sed -n 's/.*"admin": "\([^"]*\)".*/\1/p' "$1"; }

# lab_up DIR VMS DEPLOYMENT... : plans and starts everything, applies the objects.
# LAB_ORDER sets the dispatchers' order, fair or fifo.
lab_up() {
  local dir=$1 vms=$2 deployments=() d vm p
  shift 2
  for d in "$@"; do deployments+=(--deployment "$d"); done
  rm -rf "$dir"
  mkdir -p "$dir"
  bin/hq-standin plan --dir "$dir" --vms "$vms" "${deployments[@]}" >"$dir/env" || return 1
  # shellcheck disable=SC1091
  . "$dir/env"
  sed -i "s|\"listen\"|\"order\": \"${LAB_ORDER:-fair}\", &|" "$dir"/vm*/dispatch.jsonc
  # A script may define lab_configure to change the settings before the start.
  if declare -F lab_configure >/dev/null; then lab_configure; fi
  lab_start "$dir/standin.log" bin/hq-standin run --config "$dir/standin.jsonc"
  lab_wait "$STANDIN/healthz" || return 1
  bin/hqctl --store "$STORE" service apply "$dir"/objects/service.*.jsonc >"$dir/apply.log" || return 1
  bin/hqctl --store "$STORE" contract apply "$dir"/objects/contract.*.jsonc >>"$dir/apply.log" || return 1
  for vm in $(seq 1 "$vms"); do
    for p in agent dispatch entry; do
      lab_start "$dir/vm$vm/$p.log" "bin/hq-$p" --config "$dir/vm$vm/$p.jsonc"
    done
  done
  for vm in $(seq 1 "$vms"); do
    for p in agent dispatch entry; do
      lab_wait "http://$(lab_admin "$dir/vm$vm/$p.jsonc")/readyz" || return 1
    done
  done
}

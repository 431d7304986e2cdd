# Functions that start and stop a deployment on one machine; sourced by the other
# scripts. lab_stop stops every process that was started; callers also set it as
# the trap for exit and Ctrl-C. Requires bash; uses only loopback addresses.

LAB_PIDS=()

# lab_start LOG PROGRAM ARGS... : starts a process in the background and appends its output to the file LOG.
lab_start() {
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  LAB_PIDS+=($!)
}

# lab_stop : sends SIGTERM to all processes, the newest first, and SIGKILL to one that still runs after 100 s. Fails if
# any process did not exit with status 0.
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

# lab_wait URL : polls the URL until a request to it succeeds; gives up after 200 attempts, about 20 s.
lab_wait() {
  local i
  for ((i = 0; i < 200; i++)); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "not ready after 200 attempts: $1" >&2
  return 1
}

# lab_admin FILE : prints the admin address from a settings file.
lab_admin() { sed -n 's/.*"admin": "\([^"]*\)".*/\1/p' "$1"; }

# lab_up DIR VMS DEPLOYMENT... : writes the settings, starts all processes, applies the services and contracts and waits
# until every daemon is ready. LAB_ORDER sets the dispatchers' queue order, fair (default) or fifo.
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
  # Optional hook: a script can define lab_configure to edit the settings before any process starts.
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

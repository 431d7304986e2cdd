#!/usr/bin/env bash
# Measures the overhead of the router: its latency compared with direct calls to the
# targets, and the CPU time of entries and dispatchers.
# Usage: scripts/path.sh tenth|half [VMS] [OUT]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
name=$1
dir=${3:-out/path-$name}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# cpu_seconds PROGRAM : prints the CPU seconds used so far by this run's processes of the program.
cpu_seconds() {
  local pid ticks=0
  for pid in "${LAB_PIDS[@]}"; do
    [[ $(tr '\0' ' ' <"/proc/$pid/cmdline") == "bin/$1 "* ]] || continue
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done
  awk "BEGIN {print $ticks / $(getconf CLK_TCK)}"
}

lab_up "$dir" "${2:-3}" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
sleep 2
entry=$(cpu_seconds hq-entry) dispatch=$(cpu_seconds hq-dispatch)
bin/hq-load run --config "experiments/path/$name.jsonc" --lab "$dir/load.jsonc" --json "$dir/report.json" >"$dir/report.txt"
result=$?
entry=$(awk "BEGIN {print $(cpu_seconds hq-entry) - $entry}") dispatch=$(awk "BEGIN {print $(cpu_seconds hq-dispatch) - $dispatch}")
echo "load average $(cut -d' ' -f1 /proc/loadavg), $(nproc) cores"
# The first workload goes through the router, the second directly to the targets.
jq -r --arg name "$name" --argjson entry "$entry" --argjson dispatch "$dispatch" '
  def r: . * 100 | round / 100;
  .workloads as [$path, $direct]
  | "| load | requests | path p50, p99 ms | direct p50, p99 ms | added p50, p99 ms | ratio p50, p99 | requests per core second: entry, dispatch |",
    "|---|---|---|---|---|---|---|",
    "| \($name) | \($path.answered) of \($path.sent) | \($path.p50ms|r), \($path.p99ms|r) | \($direct.p50ms|r), \($direct.p99ms|r) "
    + "| \($path.p50ms - $direct.p50ms|r), \($path.p99ms - $direct.p99ms|r) | \($path.p50ms / $direct.p50ms|r), \($path.p99ms / $direct.p99ms|r) "
    + "| \($path.answered / $entry|round), \($path.answered / $dispatch|round) |"' "$dir/report.json"
lab_stop || { echo "a process did not stop gracefully; see $dir" >&2; result=1; }
exit $result

#!/usr/bin/env bash
# Runs a whole region as separate processes on loopback ports that the system chooses.
#
#   scripts/local.sh start [DIRECTORY]   starts it; logs, settings and process ids go there
#   scripts/local.sh stop DIRECTORY      stops it: entry instances by a planned stop first
#
# 7 entry instances in 3 zones, 18 engines, a records and a calendar server in each zone, the
# key-value service, the instance list and the weight store. ENTRIES="3 2 2" and
# ENGINES="6 6 6" set how many each zone gets; BUILD=debug takes the debug build.
set -euo pipefail

entries=(${ENTRIES:-3 2 2})
engines=(${ENGINES:-6 6 6})
services=(records calendar)
build=${BUILD:-release}
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${CARGO_TARGET_DIR:-$root/target}/$build
wait_s=15

usage() {
  sed -n '2,9s/^# \{0,1\}//p' "$0"
  exit 2
}

fail() {
  echo "local.sh: $1" >&2
  exit 1
}

# Starts one process and notes its id: launch NAME PROGRAM [ARGUMENT...]
launch() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" <"/dev/null" >"$dir/$name.out" 2>"$dir/$name.log" &
  echo "$! $name" >>"$dir/pids"
}

# Waits until FILE matches PATTERN and prints its first group: await FILE PATTERN
await() {
  local found
  for _ in $(seq $((wait_s * 20))); do
    found=$(sed -n "s/.*$2.*/\1/p" "$1" 2>"/dev/null" | head -n 1)
    if [ -n "$found" ]; then
      echo "$found"
      return
    fi
    sleep 0.05
  done
  fail "no address in $1 after $wait_s s; see the logs in $dir"
}

address_of() { await "$dir/$1.out" '"address":"\([^"]*\)"'; }
control_of() { await "$dir/$1.out" '"control":"\([^"]*\)"'; }
entry_address() { await "$dir/$1.log" "$2=\"\{0,1\}\([0-9.]*:[0-9]*\)"; }

# Puts a row into the instance list: list NAME KIND ZONE ADDRESS [MORE JSON]
list() {
  curl --fail --silent --show-error --output "/dev/null" "http://$list_control/instances" --data \
    "{\"put\":{\"name\":\"$1\",\"kind\":\"$2\",\"zone\":\"$3\",\"address\":\"$4\",\"state\":\"live\"${5:-}}}"
}

start_platform() {
  echo 'lag_ms = 300' >"$dir/instances.toml"
  launch store monsoonspread-standin store
  launch instances monsoonspread-standin instances --config "$dir/instances.toml"
  launch weights monsoonspread-standin weights
  store=$(address_of store)
  instances=$(address_of instances)
  weights=$(address_of weights)
  list_control=$(control_of instances)
}

# Starts the upstreams of zone number $1.
start_upstreams() {
  local zone=zone-$1 number name fences service
  for number in $(seq "${engines[$1 - 1]}"); do
    name=engine-$1-$number
    # Every third engine ignores fencing numbers.
    fences=$([ $((number % 3)) -eq 0 ] && echo false || echo true)
    printf 'name = "%s"\nchecks_fencing = %s\n' "$name" "$fences" >"$dir/$name.toml"
    launch "$name" monsoonspread-standin engine --weights "$weights" --config "$dir/$name.toml"
    list "$name" engine "$zone" "$(address_of "$name")" \
      ",\"checks_fencing\":$fences,\"adapter_slots\":8,\"batch_places\":16"
  done
  for service in "${services[@]}"; do
    name=$service-$1
    echo "name = \"$name\"" >"$dir/$name.toml"
    launch "$name" monsoonspread-standin service --config "$dir/$name.toml"
    list "$name" service "$zone" "$(address_of "$name")" ",\"service\":\"$service\""
  done
}

# Writes the settings of entry instance $1 in zone $2.
entry_settings() {
  cat <<TOML
instance = "$1"
zone = "$2"
region_zones = ["zone-1", "zone-2", "zone-3"]

[listeners]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
mesh = "127.0.0.1:0"

[mesh]
key_file = "$dir/mesh.key"

[platform]
store = ["$store"]
instance_list = "$instances"

[bundle]
verify_keys = ["$verify_key"]

[weight_store]
loads_per_s = 9.0
TOML
}

start_entries() {
  local zone=zone-$1 number name
  for number in $(seq "${entries[$1 - 1]}"); do
    name=entry-$1-$number
    entry_settings "$name" "$zone" >"$dir/$name.toml"
    launch "$name" monsoonspread-entry --config "$dir/$name.toml"
    list "$name" entry "$zone" "$(entry_address "$name" mesh)"
    operators+=("$(entry_address "$name" operators)")
    callers+=("$(entry_address "$name" callers)")
    names+=("$name")
  done
}

roll_out_sample() {
  local ctl=$bin/monsoonspread-ctl address arguments=()
  for address in "${operators[@]}"; do
    arguments+=(--instance "$address")
  done
  "$ctl" bundle sample --out "$dir/bundle.toml"
  "$ctl" bundle sign "$dir/bundle.toml" --key "$dir/operator.key"
  "$ctl" bundle roll-out "$dir/bundle.toml" --store "$store" "${arguments[@]}"
}

report() {
  local index
  echo
  echo "key-value service $store"
  echo "instance list     $instances"
  for index in "${!names[@]}"; do
    echo "${names[$index]}         callers ${callers[$index]}  operators ${operators[$index]}"
  done
  echo
  echo "Try it:"
  echo "  curl http://${callers[0]}/v1/chat/completions -H 'authorization: Bearer sample-bench-key' \\"
  echo "    -d '{\"model\":\"needle-0000\",\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Read the note.\"}]}'"
  echo "  $bin/monsoonspread-ctl dump ${operators[0]}"
  echo "Slow an engine down, and set it right:"
  echo "  curl http://$(control_of engine-1-1)/faults/engine-1-1 -d '{\"fault\":\"slow\",\"factor\":5}'"
  echo "  curl http://$(control_of engine-1-1)/faults/engine-1-1 -d '{\"fault\":\"clear\"}'"
  echo "Stop it:"
  echo "  scripts/local.sh stop $dir"
}

start() {
  dir=${1:-$(mktemp -d)}
  mkdir -p "$dir"
  [ ! -e "$dir/pids" ] || fail "$dir holds a region already; stop it first"
  (cd "$root" && cargo build --locked --quiet $([ "$build" = release ] && echo --release) \
    -p monsoonspread-standin -p monsoonspread-entry -p monsoonspread-ctl)
  echo "state directory $dir"
  trap 'stop "$dir"' ERR INT TERM
  names=() callers=() operators=()
  (umask 077 && od -An -N 32 -t x1 /dev/urandom | tr -d ' \n' >"$dir/mesh.key")
  verify_key=$("$bin/monsoonspread-ctl" key new --out "$dir/operator.key")
  start_platform
  for zone in 1 2 3; do start_upstreams "$zone"; done
  for zone in 1 2 3; do start_entries "$zone"; done
  roll_out_sample
  trap - ERR INT TERM
  report
}

# Whether process $1 still runs and is one of ours.
is_ours() {
  [[ $(cat "/proc/$1/comm" 2>"/dev/null") == monsoonspread* ]]
}

# Terminates the noted processes whose name matches $2 and waits for them: halt DIRECTORY PATTERN
halt() {
  local pid name pids=()
  while read -r pid name; do
    if [[ $name == $2 ]] && is_ours "$pid"; then
      kill -TERM "$pid" 2>"/dev/null" && pids+=("$pid")
    fi
  done <"$1/pids"
  for pid in "${pids[@]}"; do
    for _ in $(seq $((wait_s * 20))); do
      is_ours "$pid" || break
      sleep 0.05
    done
    ! is_ours "$pid" || echo "process $pid did not stop within $wait_s s" >&2
  done
}

stop() {
  [ -f "$1/pids" ] || fail "$1 holds no region"
  halt "$1" 'entry-*'
  halt "$1" '*'
  rm "$1/pids"
  echo "stopped; logs stay in $1"
}

case "${1:-}" in
  start) [ $# -le 2 ] || usage && start "${2:-}" ;;
  stop) [ $# -eq 2 ] || usage && stop "$2" ;;
  *) usage ;;
esac

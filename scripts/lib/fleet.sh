# Functions that run a small fleet on loopback; sourced by the scripts in the
# parent folder. Ports: platform 7100; engines 7201-7204; records service 7301;
# instance N listens for callers on 800N, operators on 810N, peers on 820N.

bin=$PWD/build/daemons
work=$(mktemp -d)
token=try-operator-token-0123456789abcdef
standin_pid=
declare -A daemon_pid=()

# prepare [--no-install] [--no-build]: installs packages and builds.
prepare() {
  local install=1 build=1 arg
  for arg in "$@"; do
    case "$arg" in
      --no-install) install=0 ;;
      --no-build) build=0 ;;
      *) echo "unknown option: $arg" >&2; exit 2 ;;
    esac
  done
  if [ "$install" = 1 ]; then .ci/install_packages; fi
  if [ "$build" = 1 ]; then
    cmake -S . -B build -G Ninja
    cmake --build build --target \
      wisteriareeld wisteriareelctl wisteriareel-standin wisteriareel-load
  fi
}

# Stops all started processes and removes the work folder.
finish() {
  local pid
  for pid in "${daemon_pid[@]}" $standin_pid; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${daemon_pid[@]}" $standin_pid; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}

show_logs() {
  local log
  for log in "$work"/*.log; do echo "== ${log##*/}"; tail -20 "$log"; done >&2
}

# await URL: waits until URL responds with a success status; exits after 200
# attempts, 0.1 s apart.
await() {
  for _ in $(seq 200); do
    if curl -fs -o /dev/null "$1"; then return; fi
    sleep 0.1
  done
  echo "no successful response from $1" >&2
  show_logs
  exit 1
}

zone_of() { if [ "$1" -le 2 ]; then echo muscat-a; else echo muscat-b; fi; }

start_standins() {
  local n comma=
  {
    echo '{"instances": ['
    for n in 1 2 3 4; do
      echo "$comma{\"id\": \"entry-$n\", \"role\": \"entry\","
      echo "\"state\": \"live\", \"region\": \"muscat\","
      echo "\"zone\": \"$(zone_of "$n")\","
      echo "\"host\": \"127.0.0.1\", \"port\": 820$n}"
      comma=,
    done
    echo ']}'
  } > "$work/instances.json"
  "$bin/wisteriareel-standin" --platform=7100 --engines=7201,7202,7203,7204 \
    --services=7301 --instances="$work/instances.json" \
    > "$work/standin.log" 2>&1 &
  standin_pid=$!
  await http://127.0.0.1:7301/faults
}

write_settings() {
  local n=$1 digest
  digest=$(printf '%s' "$token" | sha256sum | cut -d' ' -f1)
  printf '%s' "$token" > "$work/token"
  cat > "$work/entry-$n.json" <<JSON
{
  // One instance of the fleet; see docs/SETTINGS.md.
  "instance": {"id": "entry-$n", "region": "muscat", "zone": "$(zone_of "$n")"},
  "listen": {
    "callers": {"host": "127.0.0.1", "port": 800$n},
    "operators": {"host": "127.0.0.1", "port": 810$n},
    "peers": {"host": "127.0.0.1", "port": 820$n}
  },
  "platform": {
    "table": {"host": "127.0.0.1", "port": 7100},
    "object_store": {"host": "127.0.0.1", "port": 7100},
    "instance_list": {"host": "127.0.0.1", "port": 7100}
  },
  "peers": {"secret": "try-peer-secret-0123456789abcdef"},
  "operators": [
    {"name": "night-shift", "role": "operate", "token_sha256": "$digest"}
  ],
  "budgets": {"record_flush_ms": 500}
}
JSON
}

# start_daemon N: starts instance N and waits until it is ready.
start_daemon() {
  write_settings "$1"
  "$bin/wisteriareeld" --settings="$work/entry-$1.json" \
    >> "$work/entry-$1.log" 2>&1 &
  daemon_pid[$1]=$!
  await "http://127.0.0.1:800$1/readyz"
}

# stop_daemons: shuts all instances down gracefully; returns the last nonzero
# exit status, or 0.
stop_daemons() {
  local n status=0
  for n in "${!daemon_pid[@]}"; do kill "${daemon_pid[$n]}"; done
  for n in "${!daemon_pid[@]}"; do
    wait "${daemon_pid[$n]}" || status=$?
    unset "daemon_pid[$n]"
  done
  return "$status"
}

ctl() {
  "$bin/wisteriareelctl" --server=127.0.0.1:8101 --token-file="$work/token" "$@"
}

# configure TOKENS: sets up a customer, a budget with TOKENS, pools, targets
# and a rule; sets $key to the customer's API key.
configure() {
  local n
  ctl customer create ofsa --name="Oman Forestry Skills Authority"
  ctl budget create ofsa-2026 ofsa
  ctl budget topup ofsa-2026 "$1"
  ctl pool put chat --model=small
  ctl pool put records --path=/records/ --call-tokens=5
  for n in 1 2 3 4; do
    ctl target add "engine-$n" chat muscat "$(zone_of "$n")" 127.0.0.1 "720$n"
  done
  ctl target add records-1 records muscat muscat-a 127.0.0.1 7301
  ctl rule put lookups records GET /records/ --idempotent
  key=$(ctl --wait --json key create ofsa ofsa-2026 |
    sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
}

# faults PORT JSON: sets faults of the stand-in on PORT.
faults() {
  curl -fsS -o /dev/null -H 'Content-Type: application/json' -d "$2" \
    "http://127.0.0.1:$1/faults"
}

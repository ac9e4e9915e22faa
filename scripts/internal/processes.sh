# Sourced by scripts that start processes. Each is ended by its id, whatever happens.
started=()
work=$(mktemp -d)

# start NAME COMMAND...: runs in the background, output to $work/NAME.log
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started+=("$!")
}

# stop_all: SIGTERM to each process started here, then wait for it
stop_all() {
    local id
    for id in "${started[@]}"; do
        kill -TERM "$id" 2>/dev/null || true
    done
    for id in "${started[@]}"; do
        wait "$id" 2>/dev/null || true
    done
    started=()
}

# wait_for URL: until it answers 200, at most ten seconds
wait_for() {
    local try
    for try in $(seq 1 100); do
        curl -sf -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}

cleanup() {
    stop_all
    rm -rf "$work"
}
trap cleanup EXIT

# Sourced by the demos: processes that are ended with the script that started
# them, and a folder that goes with them.
folder=$(mktemp -d)
pids=()

finish() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    for _ in $(seq 100); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap finish EXIT

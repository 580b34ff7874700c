# Sourced by the demo scripts.  When the script exits, ends the processes in
# `pids` (SIGTERM, and SIGKILL after 10 s) and removes the temporary `folder`.
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

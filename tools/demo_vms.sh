#!/usr/bin/env bash
# The VM program on loopback: a stand-in store and targets, three VMs, callers
# who ask the directory.  One VM is told to end meanwhile.
# Usage: tools/demo_vms.sh PYTHON
set -euo pipefail
python=$1
source "$(dirname "$0")/processes.sh"

"$python" -m rosemaryweir.platform.standin serve >"$folder/site" 2>&1 &
site=$!
pids+=("$site")
for settings in $("$python" -m rosemaryweir.platform.standin files "$folder"); do
    "$python" -m rosemaryweir.platform --settings "$settings" \
        >>"$folder/log" 2>&1 &
    pids+=($!)
done
echo 'three VMs of the platform program, one of them ends after some seconds:'
status=0
"$python" -m rosemaryweir.platform.standin ask --seconds 10 &
asking=$!
(sleep 6 && kill -TERM "${pids[3]}") &
wait "$asking" || status=$?
kill -TERM "$site"
wait "$site" || status=$?
cat "$folder/site"
if [ "$status" -ne 0 ]; then
    tail -n 40 "$folder/log"
fi
exit "$status"

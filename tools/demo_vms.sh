#!/usr/bin/env bash
# Run three processes of the VM program on loopback, with a stand-in store,
# targets and callers.  One VM gets SIGTERM while the callers send requests.
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
echo 'three processes of the VM program, one of which stops after 6 s:'
status=0
"$python" -m rosemaryweir.platform.standin ask --seconds 10 &
callers=$!
(sleep 6 && kill -TERM "${pids[3]}") &
wait "$callers" || status=$?
kill -TERM "$site"
wait "$site" || status=$?
cat "$folder/site"
if [ "$status" -ne 0 ]; then
    tail -n 40 "$folder/log"
fi
exit "$status"

#!/usr/bin/env bash
# Start the agent, leaf and entry processes of a deployment on loopback, with a
# stand-in store and targets, run the demo against them and end them all.
# Usage: tools/demo.sh PYTHON DEPLOYMENT
set -euo pipefail
python=$1
deployment=$2
source "$(dirname "$0")/processes.sh"

launch() {
    "$python" -m "$@" >>"$folder/log" 2>&1 &
    pids+=($!)
}

vms=$("$python" -m rosemaryweir.cli.main demo_files --folder "$folder" \
    --deployment "$deployment")
launch rosemaryweir.standin.main store --address 127.0.0.1:11999
launch rosemaryweir.standin.main targets --config "$folder/targets.json"
for vm in $vms; do
    for role in agent leaf entry; do
        launch "rosemaryweir.daemons.$role" --settings "$folder/$vm.json"
    done
done
status=0
"$python" -m rosemaryweir.cli.main demo --folder "$folder" \
    --deployment "$deployment" || status=$?
if [ "$status" -ne 0 ]; then
    tail -n 40 "$folder/log"
fi
exit "$status"

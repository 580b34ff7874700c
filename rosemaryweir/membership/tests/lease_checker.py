"""Checks, from outside a cluster, that each key has at most one owner."""

import xxhash

from rosemaryweir.node.event import PeerMessage

KEYS = [f'target-{number}' for number in range(6)]
NEVER = float('inf')


def owner_of(key, view):
    """Return the VM that owns a key by a view."""
    names = [member['vm'] for member in view['members']]
    return max(
        names,
        key=lambda vm: xxhash.xxh3_64_intdigest(f'{key}/{vm}'.encode()),
        default=None,
    )


class LeaseChecker:
    """Tracks the views sent to leaves, and which leaf may use which key.

    A leaf may use a key that it owns by its view, with a valid lease, from
    the takeover time on, or at once if it owned the key by the view before.
    Releases between leaves are ignored, as they only shorten the wait.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.usable_from = {}
        self._deliver = cluster.deliver
        cluster.deliver = self.deliver

    def deliver(self, process, event):
        running = process.alive and not process.paused
        self._deliver(process, event)
        is_view = isinstance(event, PeerMessage) and event.topic == 'viewed'
        if running and is_view and process.name.endswith('/leaf'):
            self.record_views(process, event.message)

    def record_views(self, process, message):
        now = self.cluster.now
        uid = process.node.state.uid
        for domain, takeover in message['takeover'].items():
            view = process.node.state.views.get(domain)
            for key in KEYS:
                place = (uid, domain, key)
                if view is None or owner_of(key, view) != uid.vm:
                    self.usable_from.pop(place, None)
                    continue
                when = NEVER if takeover < 0 else now + takeover / 1000
                self.usable_from[place] = min(
                    self.usable_from.get(place, NEVER), when
                )

    def lease_holders(self):
        """Return the VMs that may use each key, by failure domain and key."""
        found = {}
        for (uid, domain, key), when in self.usable_from.items():
            process = self.cluster.processes.get(uid.name)
            if process is None or process.node.state.uid != uid:
                continue
            now = self.cluster.now + process.offset
            runs = process.alive and not process.paused
            valid = process.node.state.may_start(now)
            view = process.node.state.views[domain]
            owns = owner_of(key, view) == uid.vm
            if runs and valid and owns and self.cluster.now >= when:
                found.setdefault((domain, key), []).append(uid.vm)
        return found

    def run(self, seconds, step=0.05):
        """Run the cluster, and check for two owners after each step."""
        for _ in range(round(seconds / step)):
            self.cluster.run(step)
            conflicts = {
                place: vms
                for place, vms in self.lease_holders().items()
                if len(vms) > 1
            }
            assert not conflicts, (self.cluster.now, conflicts)

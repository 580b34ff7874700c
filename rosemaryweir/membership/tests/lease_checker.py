"""Who holds what: the rule for leaves, watched from outside a cluster."""

import xxhash

from rosemaryweir.node.event import PeerMessage

KEYS = [f'target-{number}' for number in range(6)]
NEVER = float('inf')


def owner_of(key, view):
    """Return the VM that a view gives a key."""
    names = [member['vm'] for member in view['members']]
    return max(
        names,
        key=lambda vm: xxhash.xxh3_64_intdigest(f'{key}/{vm}'.encode()),
        default=None,
    )


class LeaseChecker:
    """Follow the views that leaves are given; tell who may use which key.

    A leaf may use a key that its view gives it, under a valid lease, from the
    takeover time on; at once if the view before gave it the key, too.
    Releases between leaves are left out: they only shorten the wait.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.ready = {}
        self._deliver = cluster.deliver
        cluster.deliver = self.deliver

    def deliver(self, process, event):
        running = process.alive and not process.paused
        self._deliver(process, event)
        is_view = isinstance(event, PeerMessage) and event.topic == 'viewed'
        if running and is_view and process.name.endswith('/leaf'):
            self.follow(process, event.message)

    def follow(self, process, message):
        now = self.cluster.now
        uid = process.node.state.uid
        for domain, takeover in message['takeover'].items():
            view = process.node.state.views.get(domain)
            for key in KEYS:
                place = (uid, domain, key)
                if view is None or owner_of(key, view) != uid.vm:
                    self.ready.pop(place, None)
                    continue
                when = NEVER if takeover < 0 else now + takeover / 1000
                self.ready[place] = min(self.ready.get(place, NEVER), when)

    def lease_holders(self):
        """Return the processes that may use each key, by domain and key."""
        found = {}
        for (uid, domain, key), when in self.ready.items():
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
        """Let time pass, and check at each step."""
        for _ in range(round(seconds / step)):
            self.cluster.run(step)
            doubled = {
                place: vms
                for place, vms in self.lease_holders().items()
                if len(vms) > 1
            }
            assert not doubled, (self.cluster.now, doubled)

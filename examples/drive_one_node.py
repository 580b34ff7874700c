"""Drive one composed node by hand: an agent, its ports and a heap of events.

The node is a pure state machine: `handle` takes an event and the present
time and returns actions, `next_wake` names its next timer.  Whoever carries
the actions out runs the whole node.  Here a fake store answers, nobody
listens to peers, and a release note is applied.  Run it with
``python examples/drive_one_node.py``.
"""

import random

from rosemaryweir.compose import Node
from rosemaryweir.node.action import ReplyCaller
from rosemaryweir.node.event import CallerRequest, Wake
from rosemaryweir.node.ports import STORE_CALLS
from rosemaryweir.testing import (
    DEPLOYMENTS,
    FakeStore,
    Scheduler,
    note_of,
    vm_settings,
)


class Driver:
    """Gives events to a node and carries its actions out."""

    def __init__(self, node, scheduler, store):
        self.node = node
        self.scheduler = scheduler
        self.store = store
        self.answers = {}

    def give(self, event):
        """Give one event to the node, then wait for its next timer."""
        for action in self.node.handle(event, self.scheduler.now):
            if isinstance(action, STORE_CALLS):
                self.store.call(self.node.state.uid.name, action, self.give)
            if isinstance(action, ReplyCaller):
                self.answers[action.req] = action
        wake = self.node.next_wake()
        if wake is not None:
            when = max(wake, self.scheduler.now + 0.001)
            self.scheduler.at(when, self._wake, when)

    def _wake(self, when):
        wanted = self.node.next_wake()
        if wanted is not None and wanted <= when:
            self.give(Wake())


def main():
    """Start an agent on an empty store and apply a release note."""
    deployment = DEPLOYMENTS['halvorsen']
    scheduler = Scheduler()
    store = FakeStore(scheduler, random.Random(1))
    settings = vm_settings(deployment, vms=1)[0]
    store.live = (settings['vm'],)
    node = Node.from_config(settings, 'agent', 1, random.Random(2))
    driver = Driver(node, scheduler, store)
    driver.give(Wake())
    scheduler.run(5.0)
    driver.give(CallerRequest(1, 'note', note_of(deployment)))
    scheduler.run(10.0)
    answer = driver.answers[1]
    print('answer:', answer.status, dict(answer.body))
    print('generation in force:', node.state.config['generation'])
    print('objects in the store:', len(store.objects))


if __name__ == '__main__':
    main()

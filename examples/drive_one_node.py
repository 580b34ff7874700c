"""Drives one agent node with a small event loop, and applies a release note.

The node is a pure state machine: `handle` takes an event and the current time
and returns actions, and `next_wake` returns the time of its next timer.  The
driver only has to execute the actions.  Here store calls go to a fake store,
messages to peers are dropped.  Run it with
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
    """Passes events to a node and executes its actions."""

    def __init__(self, node, scheduler, store):
        self.node = node
        self.scheduler = scheduler
        self.store = store
        self.answers = {}

    def handle_event(self, event):
        """Let the node handle an event, then schedule its next timer."""
        for action in self.node.handle(event, self.scheduler.now):
            if isinstance(action, STORE_CALLS):
                self.store.call(
                    self.node.state.uid.name, action, self.handle_event
                )
            if isinstance(action, ReplyCaller):
                self.answers[action.req] = action
        wake = self.node.next_wake()
        if wake is not None:
            when = max(wake, self.scheduler.now + 0.001)
            self.scheduler.at(when, self._wake, when)

    def _wake(self, when):
        due = self.node.next_wake()
        if due is not None and due <= when:
            self.handle_event(Wake())


def main():
    """Start an agent with an empty store and apply a release note."""
    deployment = DEPLOYMENTS['halvorsen']
    scheduler = Scheduler()
    store = FakeStore(scheduler, random.Random(1))
    settings = vm_settings(deployment, vms=1)[0]
    store.live = (settings['vm'],)
    node = Node.from_config(settings, 'agent', 1, random.Random(2))
    driver = Driver(node, scheduler, store)
    driver.handle_event(Wake())
    scheduler.run(5.0)
    driver.handle_event(CallerRequest(1, 'note', note_of(deployment)))
    scheduler.run(10.0)
    answer = driver.answers[1]
    print('answer:', answer.status, dict(answer.body))
    print('generation in force:', node.state.config['generation'])
    print('objects in the store:', len(store.objects))


if __name__ == '__main__':
    main()

"""An entry's part for queries; the test plays the leaves."""

from random import Random

from rosemaryweir.node.action import LogEvent, ReplyCaller, SendPeer
from rosemaryweir.node.event import (
    CallerRequest,
    PeerMessage,
    Wake,
)
from rosemaryweir.node.node import Node
from rosemaryweir.node.state import Lease, NodeState, NodeUid
from rosemaryweir.query.service import QueryService
from rosemaryweir.schema.generated.config import ClassPolicy
from rosemaryweir.testing.deployment import (
    Deployment,
    ServiceSize,
    config_of,
    vm_settings,
)
from rosemaryweir.testing.process import static_view

SIZE = Deployment(
    'small',
    ('a', 'b', 'c'),
    (ServiceSize('find', 'query', 4, 3, 2, 20, 1.0),),
    {
        'default': ClassPolicy(
            deadline_ms=1000,
            answer='complete',
            coverage_floor=0.9,
        ),
        'early': ClassPolicy(
            deadline_ms=1000,
            answer='early',
            early_ms=200,
            coverage_floor=0.7,
        ),
    },
)


class Bench:
    """An entry and what it sent; the test plays the leaves."""

    def __init__(self):
        settings = vm_settings(SIZE, 3)
        self.state = NodeState(NodeUid('vm-000', 'entry', 7), settings[0])
        self.state.config = config_of(SIZE)
        self.state.lease = Lease(float('inf'), '')
        for domain in SIZE.domains:
            self.state.take_view(static_view(domain, settings))
        self.part = QueryService(self.state, Random(4))
        self.node = Node(self.state, [self.part])
        self.now = 100.0
        self.sent = []
        self.replies = {}
        self.logs = []
        self.incarnations = {}

    def give(self, event):
        for action in self.node.handle(event, self.now):
            if isinstance(action, SendPeer):
                self.sent.append(action)
            elif isinstance(action, ReplyCaller):
                assert action.req not in self.replies
                self.replies[action.req] = action
            elif isinstance(action, LogEvent):
                self.logs.append(action.number)

    def ask(self, req, **more):
        body = {'service': 'find', 'query': 'text', **more}
        self.give(CallerRequest(req, 'query', body))

    def take(self, kind='sub_query'):
        """Return and forget what was sent of a kind."""
        found = [each for each in self.sent if each.message['kind'] == kind]
        self.sent = [each for each in self.sent if each not in found]
        return found

    def until(self, when):
        wake = self.node.next_wake()
        while wake is not None and wake <= when:
            self.now = max(self.now, wake)
            self.give(Wake())
            wake = self.node.next_wake()
        self.now = when

    def answer(self, send, pieces=None, outcome='ok', version=5, layout=1):
        """Answer a message of the entry as its leaf."""
        message = send.message
        chosen = message['pieces'] if pieces is None else pieces
        served = outcome == 'ok' and message['version'] or version
        self.give(
            PeerMessage(
                send.to,
                self.incarnations.get(send.to, 1),
                {
                    'kind': 'partials',
                    'query': message['query'],
                    'pieces': [
                        {
                            **piece,
                            'outcome': outcome,
                            'ran': 'yes' if outcome == 'ok' else 'no',
                            'layout': layout,
                            'version': served,
                            'rows': [['key', f'{piece["shard"]}@{served}']],
                            'took_ms': 10.0,
                        }
                        for piece in chosen
                    ],
                    'loads': [],
                },
            ),
        )

    def warm_up(self):
        """Let one query learn version 5; the next ones are pinned to it."""
        self.ask(0)
        for send in self.take():
            self.answer(send)
        assert self.replies[0].body['snapshot']['version'] == 5


def accounts(bench):
    fleet = bench.part.fleet
    return (
        len(bench.part.attempts),
        sum(sight.own for sight in fleet.sights.values()),
        sum(health.outstanding for health in fleet.leaves.values()),
        sum(
            service_state.admission.limit.in_flight
            for service_state in bench.part.service_states.values()
        ),
    )

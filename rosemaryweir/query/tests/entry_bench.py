"""Runs the query part of an entry; the test answers for the leaves."""

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

DEPLOYMENT = Deployment(
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


class EntryBench:
    """An entry and the messages it sent; the test answers for the leaves."""

    def __init__(self):
        settings = vm_settings(DEPLOYMENT, 3)
        self.state = NodeState(NodeUid('vm-000', 'entry', 7), settings[0])
        self.state.config = config_of(DEPLOYMENT)
        self.state.lease = Lease(float('inf'), '')
        for domain in DEPLOYMENT.domains:
            self.state.take_view(static_view(domain, settings))
        self.part = QueryService(self.state, Random(4))
        self.node = Node(self.state, [self.part])
        self.now = 100.0
        self.sent = []
        self.replies = {}
        self.logs = []
        self.incarnations = {}

    def handle(self, event):
        for action in self.node.handle(event, self.now):
            if isinstance(action, SendPeer):
                self.sent.append(action)
            elif isinstance(action, ReplyCaller):
                assert action.req not in self.replies
                self.replies[action.req] = action
            elif isinstance(action, LogEvent):
                self.logs.append(action.number)

    def ask(self, req, **extra_fields):
        body = {'service': 'find', 'query': 'text', **extra_fields}
        self.handle(CallerRequest(req, 'query', body))

    def take_sent(self, kind='sub_query'):
        """Return and remove the sent messages of a kind."""
        taken = [each for each in self.sent if each.message['kind'] == kind]
        self.sent = [each for each in self.sent if each not in taken]
        return taken

    def run_until(self, end):
        wake = self.node.next_wake()
        while wake is not None and wake <= end:
            self.now = max(self.now, wake)
            self.handle(Wake())
            wake = self.node.next_wake()
        self.now = end

    def answer(self, send, sub_queries=None, outcome='ok', version=5, layout=1):
        """Answer a message of the entry in place of its leaf."""
        message = send.message
        answered = message['pieces'] if sub_queries is None else sub_queries
        served = outcome == 'ok' and message['version'] or version
        self.handle(
            PeerMessage(
                send.to,
                self.incarnations.get(send.to, 1),
                {
                    'kind': 'partials',
                    'query': message['query'],
                    'pieces': [
                        {
                            **sub_query,
                            'outcome': outcome,
                            'ran': 'yes' if outcome == 'ok' else 'no',
                            'layout': layout,
                            'version': served,
                            'rows': [['key', f'{sub_query["shard"]}@{served}']],
                            'took_ms': 10.0,
                        }
                        for sub_query in answered
                    ],
                    'loads': [],
                },
            ),
        )

    def discover_version(self):
        """Run a query that discovers version 5; later ones are pinned to it."""
        self.ask(0)
        for send in self.take_sent():
            self.answer(send)
        assert self.replies[0].body['snapshot']['version'] == 5


def in_flight_counts(bench):
    planner = bench.part.planner
    return (
        len(bench.part.attempts),
        sum(target.own_in_flight for target in planner.targets.values()),
        sum(health.outstanding for health in planner.leaves.values()),
        sum(
            service_state.admission.limit.in_flight
            for service_state in bench.part.service_states.values()
        ),
    )

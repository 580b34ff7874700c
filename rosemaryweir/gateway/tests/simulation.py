"""A gateway in virtual time, with targets that follow a script."""

import heapq
from itertools import count
from random import Random

from rosemaryweir.gateway.action import (
    CallerResponse,
    CloseTargetConnection,
    DecodedReply,
    InboundRequest,
    LogEntry,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.gateway.gateway import Gateway
from rosemaryweir.gateway.model import (
    CallerLimits,
    Configuration,
    RouteConfig,
    TargetEntry,
    TargetLimits,
    WeightedService,
)
from rosemaryweir.gateway.quota import VmInfo
from rosemaryweir.gateway.retry_budget import RetryBudgetPolicy

WAY = 0.001


def query_route(shards, **changes):
    route = RouteConfig(
        'sweep',
        'a.example',
        '/sweep/',
        True,
        timeout=0.8,
        latency_goal=0.145,
        priority=1,
        max_targets=2,
        weighted_services=(),
        shards=tuple(shards),
        max_records=3,
        min_coverage=0.75,
    )
    return route._replace(**changes)


def order_route(service, **changes):
    route = RouteConfig(
        'order',
        'a.example',
        '/order/',
        False,
        timeout=3,
        latency_goal=0.5,
        priority=2,
        max_targets=2,
        weighted_services=(WeightedService(service, 1),),
    )
    return route._replace(**changes)


class FakeTarget:
    """Answers after a time, or as its mode says."""

    def __init__(self, entry, work=0.01):
        self.entry = entry
        self.work = work
        self.mode = 'good'
        self.connects = True
        self.open_time = 2 * WAY
        self.runs = []
        self.arrivals = []


class Rig:
    """The gateway, its targets, and what callers got."""

    def __init__(
        self, services, *, routes, per=3, connections=30, vms=1, own='vm-0'
    ):
        self.now = 100.0
        self.answers = {}
        self.notes = []
        self.targets = {}
        self._events = []
        self._order = count()
        self._conns = {}
        self._numbers = count(1)
        rule = RetryBudgetPolicy(ratio=0.2, slack=50, window=10)
        self.gateway = Gateway(VmInfo(own, 'd0'), rule, Random(7))
        self.gateway.dispatcher.connection_quota.update(
            VmInfo(f'vm-{number}', 'd0') for number in range(vms)
        )
        for service in services:
            for place in range(per):
                name = f'{service}-{place}'
                address = f'10.0.0.{len(self.targets)}:80'
                entry = TargetEntry(name, service, address, f'd{place}')
                self.targets[name] = FakeTarget(entry)
        bounds = {name: TargetLimits(connections) for name in services}
        limits = CallerLimits(16384, 65536, 3, 15)
        config = Configuration(1, tuple(routes), bounds, limits)
        self.do(self.gateway.configure(config))
        self.register()

    def register(self, closed=()):
        entries = {name: target.entry for name, target in self.targets.items()}
        self.do(self.gateway.update_targets(entries, closed, self.now))

    def make_cold(self, domain, cold_for, rate):
        """Let the targets of a failure domain be cold, with a limit."""
        config = self.gateway.config
        services = {
            name: bounds._replace(cold_rate=rate)
            for name, bounds in config.services.items()
        }
        config = config._replace(services=services)
        self.do(self.gateway.configure(config))
        for target in self.targets.values():
            if target.entry.domain == domain:
                target.entry = target.entry._replace(cold_seconds=cold_for)
        self.register()

    def of(self, service):
        return [
            target
            for target in self.targets.values()
            if target.entry.service == service
        ]

    def ask(self, path='/sweep/1', time_left=0.8, **changes):
        req = next(self._numbers)
        ask = InboundRequest(
            req,
            f'id-{req}',
            'GET',
            path,
            'a.example',
            (),
            b'',
            time_left,
        )
        self.do(self.gateway.handle_request(ask._replace(**changes), self.now))
        return req

    def run(self, seconds):
        end = self.now + seconds
        while True:
            wake = self.gateway.next_wake()
            due = min(wake, self._events[0][0] if self._events else wake)
            if due > end:
                break
            self.now = max(self.now, due)
            if self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            else:
                self.do(self.gateway.wake(self.now))
        self.now = end

    def at(self, due, call):
        heapq.heappush(self._events, (due, next(self._order), call))

    def do(self, actions):
        for action in actions:
            if isinstance(action, CallerResponse):
                assert action.exchange_id not in self.answers
                self.answers[action.exchange_id] = (self.now, action)
            elif isinstance(action, LogEntry):
                self.notes.append(action)
            elif isinstance(action, OpenTargetConnection):
                self._open(action)
            elif isinstance(action, CloseTargetConnection):
                self._conns.pop(action.conn, None)
            elif isinstance(action, SendAttempt):
                self._send(action)

    def _open(self, action):
        target = next(
            target
            for target in self.targets.values()
            if target.entry.address == action.address
        )
        self._conns[action.conn] = target
        if target.connects:
            due = self.now + target.open_time
            self.at(due, lambda: self._opened(action.conn))
        else:
            due = self.now + action.timeout
            self.at(due, lambda: self.break_conn(action.conn))

    def _opened(self, conn):
        if conn in self._conns:
            self.do(self.gateway.connection_opened(conn, self.now))

    def break_conn(self, conn):
        if self._conns.pop(conn, None) is not None:
            self.do(self.gateway.connection_lost(conn, 'broken', self.now))

    def _send(self, action):
        target = self._conns.get(action.conn)
        if target is None:
            self.at(
                self.now,
                lambda: self.do(
                    self.gateway.connection_lost(
                        action.conn, 'closed', self.now
                    ),
                ),
            )
            return
        target.arrivals.append(action.request.request_id)
        mode = target.mode
        if mode in {'good', 'errors', 'lost', 'stray'}:
            target.runs.append(action.request.request_id)
        if mode == 'silent':
            return
        due = self.now + 2 * WAY + (target.work if mode != 'full' else 0)
        if mode == 'lost':
            self.at(due, lambda: self.break_conn(action.conn))
            return
        self.at(due, lambda: self._reply(action, mode))

    def _reply(self, action, mode):
        if action.conn not in self._conns:
            return
        name = action.request.request_id if mode != 'stray' else 'id-0'
        good = mode in {'good', 'stray'}
        reply = DecodedReply(
            status={'full': 503, 'errors': 500}.get(mode, 200),
            headers=(),
            body=action.incarnation.ljust(16).encode() if good else b'',
            request_id=name,
            signature=f'{action.incarnation}/{name}',
            not_run=mode == 'full',
        )
        self.do(
            self.gateway.reply_received(
                action.conn, reply, True, None, self.now
            ),
        )

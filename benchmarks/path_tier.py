"""Runs an entry and a leaf over loopback sockets, each on its own thread.

The threads allow to measure the processor time of each node; within a node
all runs on one event loop, as in its daemon.
"""

import asyncio
import json
import threading
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from rosemaryweir.daemons.clock import SystemClock
from rosemaryweir.daemons.process import NodeProcess
from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.event import Event, PeerMessage
from rosemaryweir.node.state import CONFIG_FORMAT, NodeUid
from rosemaryweir.schema.generated.config import Config, Service, Target
from rosemaryweir.schema.generated.control import (
    Configured,
    Grant,
    Member,
    Pulse,
    View,
    Viewed,
)
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.standin.ports import free_addresses
from rosemaryweir.standin.target_group import TargetGroup
from rosemaryweir.transport.peers import ZmqPeerPort

__all__ = [
    'DOMAIN',
    'LoopThread',
    'StaticAgent',
    'ThreadedTier',
    'path_config',
    'path_settings',
]

DOMAIN = 'nordvest-a'
VM = 'vm-1'
LEASE_MS = 5000
TIER_PORTS = 13100
TARGET_PORTS = 13200
CALL_TIMEOUT_S = 60
SLOTS = 4
CONNECTIONS = 30

CoroutineResult = TypeVar('CoroutineResult')


class LoopThread:
    """A thread that runs an asyncio loop."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever,
            name=name,
            daemon=True,
        )
        self._thread.start()

    def run(
        self, coroutine: Coroutine[Any, Any, CoroutineResult]
    ) -> CoroutineResult:
        """Run a coroutine on the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(CALL_TIMEOUT_S)

    def cpu_seconds(self) -> float:
        """Return the processor time that the thread has used."""

        async def read() -> float:
            return time.thread_time()

        return self.run(read())

    def stop(self) -> None:
        """Stop the loop and join the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self.loop.close()


class StaticAgent:
    """An agent that answers hellos with a fixed configuration and view."""

    def __init__(self, config: Config, settings: Settings) -> None:
        uid = NodeUid(settings['vm'], 'agent', 1)
        self._config = config
        self._settings = settings
        self._clock = SystemClock()
        self._port = ZmqPeerPort(uid, self._handle, self._clock)

    async def start(self) -> None:
        """Bind the agent's peer socket."""
        self._port.start(self._settings['addresses']['agent_peer'])

    async def stop(self) -> None:
        """Close the sockets."""
        self._port.close()

    def _handle(self, event: Event) -> None:
        if not isinstance(event, PeerMessage) or event.topic != 'hello':
            return
        hello = event.message
        if hello['generation'] < self._config['generation']:
            self._answer(event, self._configured())
            self._answer(event, self._viewed())
        grant = Grant(
            kind='grant',
            sequence=hello['sequence'],
            lease_ms=LEASE_MS,
            reason='',
            generation=self._config['generation'],
            suspended=[],
            pulses=[self._pulse()],
        )
        self._answer(event, grant)

    def _answer(self, event: PeerMessage, message: Any) -> None:
        addresses = self._settings['addresses']
        is_entry = event.sender.endswith('/entry')
        address = addresses['entry_peer' if is_entry else 'leaf_peer']
        deadline = self._clock.monotonic() + 1
        self._port.send(SendPeer(event.sender, address, message, deadline))

    def _pulse(self) -> Pulse:
        return Pulse(
            vm=self._settings['vm'],
            load=0.0,
            serving=True,
            leaving=False,
            generation=self._config['generation'],
            age_ms=0.0,
        )

    def _configured(self) -> Configured:
        return Configured(
            kind='configured',
            generation=self._config['generation'],
            content=json.dumps(self._config),
        )

    def _viewed(self) -> Viewed:
        member = Member(
            vm=self._settings['vm'],
            domain=DOMAIN,
            region='north',
            incarnation=1,
            state='alive',
            load=0.0,
            **self._settings['addresses'],
        )
        view = View(domain=DOMAIN, version=1, members=[member])
        return Viewed(kind='viewed', views=[view], takeover={DOMAIN: 0.0})


class ThreadedTier:
    """Entry and leaf on a thread each; targets and agent share another."""

    def __init__(self, config: Config, median_ms: float) -> None:
        self.settings = path_settings()
        self.outside = LoopThread('outside')
        self.nodes = {role: LoopThread(role) for role in ('entry', 'leaf')}
        options: Any = {'timing': {'median_ms': median_ms, 'sigma': 0.0}}
        self._processes: dict[str, NodeProcess] = {}
        self.outside.run(self._start_outside(config, options))
        for role, thread in self.nodes.items():
            thread.run(self._start_node(role))

    @property
    def address(self) -> str:
        """Address for callers."""
        return self.settings['addresses']['entry_http']

    def status(self, role: str) -> dict[str, Any]:
        """Return the status of a node."""
        process = self._processes[role]

        async def read() -> dict[str, Any]:
            return process.node.status(time.monotonic())

        return self.nodes[role].run(read())

    def stop(self) -> None:
        """Stop all processes and threads."""
        for role, thread in self.nodes.items():
            thread.run(self._processes[role].stop())
            thread.stop()
        self.outside.run(self._stop_outside())
        self.outside.stop()

    async def _start_outside(self, config: Config, options: Any) -> None:
        self._group = TargetGroup(config, options)
        await self._group.start()
        self._agent = StaticAgent(config, self.settings)
        await self._agent.start()

    async def _stop_outside(self) -> None:
        await self._agent.stop()
        await self._group.stop()

    async def _start_node(self, role: str) -> None:
        process = NodeProcess(self.settings, role)
        self._processes[role] = process
        await process.start()


def path_config(
    fan_outs: tuple[int, ...],
    start: int = TARGET_PORTS,
) -> Config:
    """Return a configuration with one service for each fan-out."""
    services = {
        f'fan-{size}': Service(
            work='query',
            slots=SLOTS,
            connections=CONNECTIONS,
            connect_ms=0,
            cold_slots=SLOTS,
            warm_after=1,
            layout=1,
            shards={
                f's{number}': {'targets': [f'fan-{size}-{number}']}
                for number in range(size)
            },
        )
        for size in fan_outs
    }
    names = [
        f'fan-{size}-{number}' for size in fan_outs for number in range(size)
    ]
    addresses = free_addresses(len(names), start)
    return Config(
        generation=1,
        note='path',
        format=CONFIG_FORMAT,
        services=services,
        targets={
            name: Target(address=address, domain=DOMAIN)
            for name, address in zip(names, addresses, strict=True)
        },
        domains={DOMAIN: {'region': 'north', 'state': 'in'}},
        classes={
            'default': {
                'deadline_ms': 5000,
                'answer': 'complete',
                'coverage_floor': 1.0,
            },
        },
        tenants={'default': {'weight': 1}},
    )


def path_settings(
    store: str = '127.0.0.1:9',
    start: int = TIER_PORTS,
) -> Settings:
    """Return the settings of the VM, with free ports from ``start`` on."""
    names = (
        'entry_http',
        'entry_peer',
        'leaf_peer',
        'agent_peer',
        'agent_http',
    )
    addresses: Any = dict(
        zip(names, free_addresses(len(names), start), strict=True),
    )
    return Settings(
        vm=VM,
        domain=DOMAIN,
        region='north',
        addresses=addresses,
        store=store,
        seeds=[],
        log_level='error',
    )

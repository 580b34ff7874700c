"""Measures the bytes and the processor time of a configuration change.

Real agents, entries and leaves run in virtual time.  The notes replace a
server, take a domain out or in, change a service's slots or a tenant's
weight; the bytes are those of messages that carry configuration between VMs.
"""

import itertools
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

import msgspec

from rosemaryweir.compose import Node
from rosemaryweir.config.delta import hash_config, make_delta
from rosemaryweir.config.head import HEAD_KEY, MAX_RECENT_NOTES, decode_head
from rosemaryweir.config.note import apply
from rosemaryweir.membership.relay_tree import STORE_WATCHERS
from rosemaryweir.node.event import PeerMessage, Wake
from rosemaryweir.node.state import Lease
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import Delta
from rosemaryweir.testing.cluster import Cluster
from rosemaryweir.testing.deployment import (
    Deployment,
    config_of,
    note_of,
    vm_settings,
)
from rosemaryweir.testing.process import static_view

__all__ = [
    'ChangeCost',
    'apply_seconds',
    'measure_change_cost',
    'note_write_seconds',
]

#: Kinds of messages between VMs that carry configuration or request it.
CONFIG_MESSAGES = ('fetch', 'deltas', 'content')

VM_COUNT = 33
SETTLE_S = 4.0
NOTE_WAIT_S = 2.0
ROUNDS = 3

MakeChange = Callable[[Config, int], dict[str, Any]]


class ChangeCost(NamedTuple):
    """Bytes of one change, averaged over the kinds of changes.

    ``node`` is sent and received by a VM that does not watch the store,
    ``largest`` the same for the most expensive kind.  ``whole`` counts
    messages with whole configurations.  ``head`` is the size of a head with
    all recent notes, ``delta`` that of a stored delta.
    """

    node: float
    largest: float
    whole: int
    head: float
    delta: float


def _replaced_server(config: Config, number: int) -> dict[str, Any]:
    service = next(iter(config['services']))
    shards = config['services'][service]['shards']
    shard = list(shards)[number % len(shards)]
    old, *rest = shards[shard]['targets']
    new = f'{service}-new-{number:04d}'
    target = {**config['targets'][old], 'address': f'127.0.0.9:{9000 + number}'}
    changed = {**shards, shard: {'targets': [new, *rest]}}
    return {
        'added': {'targets': {new: target}},
        'changed': {'services': {service: {'shards': changed}}},
        'withdrawn': {'targets': [old]},
    }


def _domain_state(config: Config, number: int) -> dict[str, Any]:
    name = next(iter(config['domains']))
    before = config['domains'][name]['state']
    state = 'out' if before == 'in' else 'in'
    return {'changed': {'domains': {name: {'state': state}}}}


def _service_slots(config: Config, number: int) -> dict[str, Any]:
    name = next(iter(config['services']))
    return {'changed': {'services': {name: {'slots': 4 + number}}}}


def _tenant_weight(config: Config, number: int) -> dict[str, Any]:
    return {'changed': {'tenants': {'default': {'weight': 2 + number}}}}


CHANGES: tuple[MakeChange, ...] = (
    _replaced_server,
    _domain_state,
    _service_slots,
    _tenant_weight,
)


def measure_change_cost(deployment: Deployment, seed: int) -> ChangeCost:
    """Submit notes of every kind and count the bytes that they cause."""
    sent_bytes = {kind: 0 for kind in CONFIG_MESSAGES}
    content_count = itertools.count()

    def size_of(message: Any) -> int:
        kind = message['kind']
        if kind in sent_bytes:
            sent_bytes[kind] += len(msgspec.msgpack.encode(message))
        if kind == 'content':
            next(content_count)
        return 0

    cluster = Cluster(
        vm_settings(deployment, VM_COUNT),
        config_of(deployment),
        seed,
        size_of=size_of,
    )
    cluster.run(SETTLE_S)
    _submit(cluster, dict(note_of(deployment)))
    cluster.run(SETTLE_S)
    content_before = next(content_count)
    costs = []
    for change in CHANGES:
        before = sum(sent_bytes.values())
        for number in range(ROUNDS):
            _submit_change(cluster, change, number)
        costs.append((sum(sent_bytes.values()) - before) / ROUNDS)
    # Each message is sent once and received once.
    each = [
        2 * cost / (VM_COUNT - STORE_WATCHERS * len(deployment.domains))
        for cost in costs
    ]
    return ChangeCost(
        sum(each) / len(each),
        max(each),
        next(content_count) - content_before - 1,
        _full_head(cluster),
        _mean_delta(cluster),
    )


def apply_seconds(role: str, deployment: Deployment, repeats: int) -> float:
    """Return the processor time of applying a change in a process."""
    config = config_of(deployment)
    node = _node(role, deployment, config)
    times = []
    for now, delta in enumerate(_make_deltas(config, repeats), 11):
        event = _event(role, delta)
        began = time.process_time()
        tuple(node.handle(event, float(now)))
        tuple(node.handle(Wake(), now + 0.5))
        times.append(time.process_time() - began)
        assert node.state.config['generation'] == delta['generation']
    return min(times)


def note_write_seconds(deployment: Deployment) -> float:
    """Return the processor time of applying a note and making its delta."""
    config = config_of(deployment)
    note: Any = {
        'note': 'n-1',
        'format': 1,
        'base': config['generation'],
        **_replaced_server(config, 0),
    }
    began = time.process_time()
    make_delta(config, hash_config(apply(note, config)))
    return time.process_time() - began


def _submit_change(cluster: Cluster, change: MakeChange, number: int) -> None:
    agent = cluster.processes['vm-000/agent']
    config = agent.node.state.config
    base = config['generation']
    fields = change(config, number)
    _submit(cluster, {'note': f'n-{base}', 'format': 1, 'base': base, **fields})
    cluster.run(NOTE_WAIT_S)


def _submit(cluster: Cluster, note: dict[str, Any]) -> None:
    ask = cluster.ask('vm-000', 'note', note, role='agent')
    cluster.run(NOTE_WAIT_S)
    if ask.status != 200:
        raise AssertionError(ask.answer)


def _full_head(cluster: Cluster) -> float:
    """Return the size of a head with the most recent notes it may hold."""
    obj = cluster.store.objects[HEAD_KEY]
    recent = decode_head(obj)['recent']
    each = len(msgspec.json.encode(recent)) / len(recent)
    return len(obj.content) + each * (MAX_RECENT_NOTES - len(recent))


def _mean_delta(cluster: Cluster) -> float:
    sizes = [
        len(obj.content)
        for key, obj in cluster.store.objects.items()
        if key.startswith('config/delta/')
    ]
    return sum(sizes) / len(sizes)


def _make_deltas(config: Config, count: int) -> Iterator[Delta]:
    for number in range(count):
        note: Any = {
            'note': f'n-{number}',
            'format': 1,
            'base': config['generation'],
            **_replaced_server(config, number),
        }
        result = hash_config(apply(note, config))
        yield make_delta(config, result)
        config = result.config


def _event(role: str, delta: Delta) -> PeerMessage:
    if role == 'agent':
        message: Any = {'kind': 'deltas', 'deltas': [delta]}
        return PeerMessage('vm-001/agent', 1, message)
    message = {
        'kind': 'configured',
        'generation': delta['generation'],
        'content': '',
        'deltas': [delta],
    }
    return PeerMessage('vm-000/agent', 1, message)


def _node(role: str, deployment: Deployment, config: Config) -> Node:
    settings = vm_settings(deployment, len(deployment.domains))
    node = Node.from_config(settings[0], role, 1, Random(1))
    state = node.state
    state.take_config(config)
    state.lease = Lease(float('inf'), '')
    for name in config['domains']:
        state.take_view(static_view(name, settings))
    tuple(node.handle(Wake(), 10.0))
    # After a whole configuration, the first delta makes the node compute the
    # record sum.  A delta with a wrong digest does so before the timing.
    wrong: Any = {**next(_make_deltas(config, 1)), 'digest': ''}
    tuple(node.handle(_event(role, wrong), 10.0))
    return node

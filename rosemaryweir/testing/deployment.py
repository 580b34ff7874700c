"""Builds configurations and VM settings of deployments of any size."""

from typing import NamedTuple

from rosemaryweir.node.state import CONFIG_FORMAT
from rosemaryweir.schema.generated.config import (
    ClassPolicy,
    Config,
    Domain,
    Service,
    Shard,
    Target,
    Tenant,
)
from rosemaryweir.schema.generated.note import ReleaseNote
from rosemaryweir.schema.generated.settings import (
    Addresses,
    Seed,
    Settings,
)

__all__ = [
    'DEPLOYMENTS',
    'Deployment',
    'ServiceSize',
    'config_of',
    'note_of',
    'vm_settings',
]

LOOPBACK = '127.0.0.1'
FIRST_TARGET_PORT = 20000
FIRST_VM_PORT = 12000
PORTS_PER_VM = 10


class ServiceSize(NamedTuple):
    """Number and capacity of the targets of a service.

    A service has ``shards`` times ``replicas`` targets; the replicas of a
    shard are spread over the failure domains in turn, so that a query shard
    has one in each.  Each target runs
    ``slots`` requests at once, or ``cold_slots`` until it has served
    ``warm_after`` requests, and accepts ``connections`` connections, each of
    which takes ``connect_ms`` to open.
    """

    name: str
    work: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    cold_slots: int = 1
    warm_after: int = 20


class Deployment(NamedTuple):
    """Failure domains, services and class policies of one deployment."""

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    classes: dict[str, ClassPolicy]


HALVORSEN = Deployment(
    'halvorsen',
    ('nordvest-a', 'midlands-b', 'sorkyst-a'),
    (
        ServiceSize('patrol-desk', 'query', 10, 3, 3, 30, 6.0),
        ServiceSize('artwork-vault', 'query', 15, 3, 3, 30, 6.0),
        ServiceSize('print-orders', 'order', 1, 15, 2, 100, 1.0),
        ServiceSize('billing-ledger', 'order', 1, 7, 2, 100, 1.0),
    ),
    {
        'street': ClassPolicy(
            deadline_ms=500,
            answer='early',
            early_ms=200,
            coverage_floor=0.9,
            priority=1,
        ),
        'default': ClassPolicy(
            deadline_ms=2000,
            answer='early',
            early_ms=500,
            coverage_floor=0.9,
        ),
    },
)
HAEPARAM = Deployment(
    'haeparam',
    ('ulsan-a', 'yeonggwang-a', 'taebaek-a'),
    (
        ServiceSize('crew-brief', 'query', 10, 3, 2, 25, 6.0),
        ServiceSize('owner-billing', 'query', 15, 3, 2, 25, 6.0),
        ServiceSize('nacelle-pad', 'order', 1, 4, 4, 45, 1.0),
        ServiceSize('parts-ledger', 'order', 1, 3, 4, 45, 1.0),
    ),
    {
        'default': ClassPolicy(
            deadline_ms=2000,
            answer='complete',
            coverage_floor=0.999,
        ),
        'dispatch': ClassPolicy(
            deadline_ms=800,
            answer='complete',
            coverage_floor=0.99,
            priority=1,
        ),
    },
)
DEPLOYMENTS = {each.name: each for each in (HALVORSEN, HAEPARAM)}


def _targets_of(size: ServiceSize, shard: int) -> list[str]:
    return [
        f'{size.name}-{shard:03d}-{replica}' for replica in range(size.replicas)
    ]


def _service(size: ServiceSize) -> Service:
    return Service(
        work='query' if size.work == 'query' else 'order',
        slots=size.slots,
        connections=size.connections,
        connect_ms=size.connect_ms,
        cold_slots=size.cold_slots,
        warm_after=size.warm_after,
        layout=1,
        shards={
            f'{size.name}-{shard:03d}': Shard(targets=_targets_of(size, shard))
            for shard in range(size.shards)
        },
    )


def _replicas(size: ServiceSize) -> list[tuple[int, str]]:
    return [
        (replica, name)
        for shard in range(size.shards)
        for replica, name in enumerate(_targets_of(size, shard))
    ]


def config_of(
    deployment: Deployment,
    generation: int = 1,
    host: str = LOOPBACK,
) -> Config:
    """Return the configuration of a deployment with all targets on a host."""
    names = [
        (name, replica)
        for size in deployment.services
        for replica, name in _replicas(size)
    ]
    domains = deployment.domains
    return Config(
        generation=generation,
        note=f'{deployment.name}-{generation}',
        format=CONFIG_FORMAT,
        services={size.name: _service(size) for size in deployment.services},
        targets={
            name: Target(
                address=f'{host}:{FIRST_TARGET_PORT + port}',
                domain=domains[replica % len(domains)],
            )
            for port, (name, replica) in enumerate(names)
        },
        domains={name: Domain(region='home', state='in') for name in domains},
        classes=deployment.classes,
        tenants={'default': Tenant(weight=1)},
    )


def note_of(deployment: Deployment, host: str = LOOPBACK) -> ReleaseNote:
    """Return the release note that adds a deployment to an empty base."""
    config = config_of(deployment, host=host)
    return ReleaseNote(
        note=config['note'],
        format=1,
        base=0,
        added={
            'services': config['services'],
            'targets': config['targets'],
            'domains': config['domains'],
            'classes': config['classes'],
            'tenants': config['tenants'],
        },
    )


def _addresses(index: int, host: str) -> Addresses:
    port = FIRST_VM_PORT + index * PORTS_PER_VM
    return Addresses(
        entry_http=f'{host}:{port}',
        entry_peer=f'{host}:{port + 1}',
        leaf_peer=f'{host}:{port + 2}',
        agent_peer=f'{host}:{port + 3}',
        agent_http=f'{host}:{port + 4}',
    )


def _leaf_http(index: int, host: str) -> str:
    return f'{host}:{FIRST_VM_PORT + index * PORTS_PER_VM + 5}'


def vm_settings(
    deployment: Deployment,
    vms: int,
    store: str = '127.0.0.1:11999',
    host: str = LOOPBACK,
) -> list[Settings]:
    """Return the settings of VMs spread over the failure domains in turn.

    The first VM of each failure domain is a seed of all other VMs.
    """
    domains = deployment.domains
    placed = [
        (f'vm-{index:03d}', domains[index % len(domains)], index)
        for index in range(vms)
    ]
    seeds = [
        Seed(
            vm=vm,
            domain=domain,
            agent_peer=_addresses(index, host)['agent_peer'],
        )
        for vm, domain, index in placed[: len(domains)]
    ]
    return [
        Settings(
            vm=vm,
            domain=domain,
            region='home',
            addresses=_addresses(index, host),
            leaf_http=_leaf_http(index, host),
            store=store,
            seeds=[seed for seed in seeds if seed['vm'] != vm],
        )
        for vm, domain, index in placed
    ]

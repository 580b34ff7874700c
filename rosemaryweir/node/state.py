"""State shared by the parts of a node: configuration, views and lease."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from rosemaryweir.exception import StaleGeneration
from rosemaryweir.schema.generated.config import Config, Service, Target
from rosemaryweir.schema.generated.control import Member, View
from rosemaryweir.schema.generated.settings import Settings

__all__ = ['Lease', 'NodeState', 'NodeUid', 'empty_config']

#: Version of the format of configurations and notes.
CONFIG_FORMAT = 1


class NodeUid(NamedTuple):
    """Identity of one process.

    Parameters
    ----------
    vm : str
        Name of its VM.
    role : str
        ``entry``, ``leaf`` or ``agent``.
    incarnation : int
        Wall-clock start time of the process, in ms.
    """

    vm: str
    role: str
    incarnation: int

    @property
    def name(self) -> str:
        """Name used by peers, ``vm/role``."""
        return f'{self.vm}/{self.role}'


class Lease(NamedTuple):
    """Permission to start new work until a monotonic time.

    The lease must be checked in the same handler call as the send.
    """

    until: float = 0.0
    reason: str = 'starting'

    def valid(self, now: float) -> bool:
        """Return whether new work may start at `now`."""
        return now < self.until


def empty_config() -> Config:
    """Return the configuration that is valid before the first note."""
    return Config(
        generation=0,
        note='',
        format=CONFIG_FORMAT,
        services={},
        targets={},
        domains={},
        classes={},
        tenants={},
    )


class NodeState:
    """State shared by the parts of a node.

    Parameters
    ----------
    uid : NodeUid
        Identity of the process.
    settings : Settings
        Validated settings of the VM.

    Attributes
    ----------
    config : Config
        Configuration in force; its generation never decreases.
    views : dict of str to View
        Members by failure domain, as agreed through the store.
    lease : Lease
        Whether new work may start.
    suspended : frozenset of str
        Failure domains that get no new work until a pending note is settled.
    leaving : bool
        Whether a graceful shutdown is under way.
    load : float
        Share of the node's capacity in use, set by its parts.
    in_flight : int
        Requests not answered yet, set by its parts.
    """

    def __init__(self, uid: NodeUid, settings: Settings) -> None:
        self.uid = uid
        self.settings = settings
        self.config = empty_config()
        self.views: dict[str, View] = {}
        self.lease = Lease()
        self.suspended: frozenset[str] = frozenset()
        self.leaving = False
        self.load = 0.0
        self.in_flight = 0

    def take_config(self, config: Config) -> bool:
        """Put a configuration in force if it is newer; return whether it is.

        Raises
        ------
        StaleGeneration
            If the configuration is older than the one in force.
        """
        if config['generation'] < self.config['generation']:
            raise StaleGeneration(
                f'generation {config["generation"]} is older than '
                f'{self.config["generation"]}, which is in force',
            )
        newer = config['generation'] > self.config['generation']
        if newer:
            self.config = config
        return newer

    def take_view(self, view: View) -> bool:
        """Store the view of a domain if it is newer; return whether it is."""
        known = self.views.get(view['domain'])
        newer = known is None or known['version'] < view['version']
        if newer:
            self.views[view['domain']] = view
        return newer

    def may_start(self, now: float) -> bool:
        """Return whether this node may start new work at `now`."""
        return self.lease.valid(now)

    def domain_open(self, domain: str) -> bool:
        """Return whether a failure domain accepts new work."""
        known = self.config['domains'].get(domain)
        if known is None or domain in self.suspended:
            return False
        return known['state'] == 'in'

    def target_open(self, target: str) -> bool:
        """Return whether the configuration allows a target new work."""
        known = self.target(target)
        return known is not None and self.domain_open(known['domain'])

    def target(self, name: str) -> Target | None:
        """Return the configuration of a target, or None."""
        return self.config['targets'].get(name)

    def service(self, name: str) -> Service | None:
        """Return the configuration of a service, or None."""
        return self.config['services'].get(name)

    def members(self) -> Iterator[Member]:
        """Yield the members of all views."""
        for view in self.views.values():
            yield from view['members']

    def member(self, vm: str) -> Member | None:
        """Return the member with a VM name, or None."""
        return next(
            (member for member in self.members() if member['vm'] == vm),
            None,
        )

    def view_versions(self) -> Mapping[str, int]:
        """Return the version of each view in use, by failure domain."""
        return {name: view['version'] for name, view in self.views.items()}

"""Track current and recently dropped members of the views."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from rosemaryweir.schema.generated.control import Member, View

__all__ = ['RecentMembers']

#: Time for which a dropped member still counts, in seconds.
DROPPED_RETENTION_S = 3.0

#: Member states that count.
COUNTED_STATES = frozenset(('alive', 'suspect'))


class DroppedMember(NamedTuple):
    """A member and the time at which it left its view."""

    member: Member
    dropped_at: float


class RecentMembers:
    """Members of the views, including recently dropped ones.

    A VM that is cut off from its peers but not from the store considers them
    dead and drops them from the views; they add themselves again.  Until then
    the views list few members, and a majority of these alone would not be a
    majority of the VMs.

    Examples
    --------
    >>> recent = RecentMembers()
    >>> member = {'vm': 'a', 'state': 'alive'}
    >>> recent.observe({'d': {'version': 1, 'members': [member]}}, 0.0)
    >>> recent.observe({'d': {'version': 2, 'members': []}}, 1.0)
    >>> [each['vm'] for each in recent.members(2.0)]
    ['a']
    >>> list(recent.members(4.0))
    []
    """

    def __init__(self) -> None:
        self._views: dict[str, View] = {}
        self._dropped: dict[str, DroppedMember] = {}

    def observe(self, views: Mapping[str, View], now: float) -> None:
        """Record the current views; unchanged views are skipped."""
        for domain, view in views.items():
            previous = self._views.get(domain)
            if previous is None or previous['version'] != view['version']:
                self._record_dropped(previous, view, now)
                self._views[domain] = view

    def members(self, now: float) -> Iterator[Member]:
        """Yield the members that count at a time."""
        self._dropped = {
            vm: dropped
            for vm, dropped in self._dropped.items()
            if now - dropped.dropped_at < DROPPED_RETENTION_S
        }
        present: set[str] = set()
        for view in self._views.values():
            for member in view['members']:
                present.add(member['vm'])
                if member['state'] in COUNTED_STATES:
                    yield member
        for vm, dropped in self._dropped.items():
            if vm not in present:
                yield dropped.member

    def _record_dropped(
        self,
        previous: View | None,
        view: View,
        now: float,
    ) -> None:
        if previous is None:
            return
        present = {member['vm'] for member in view['members']}
        for member in previous['members']:
            is_dropped = member['vm'] not in present
            if is_dropped and member['state'] in COUNTED_STATES:
                self._dropped[member['vm']] = DroppedMember(member, now)

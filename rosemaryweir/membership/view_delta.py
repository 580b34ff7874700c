"""Deltas of views: the members that joined and left since a known version."""

import msgspec
import xxhash

from rosemaryweir.schema.generated.control import (
    FormerDelta,
    Member,
    View,
    ViewDelta,
)

__all__ = ['ViewHistory', 'apply_delta', 'view_delta']

#: Versions of each view that are kept as bases of deltas.
MAX_VERSIONS_KEPT = 8


def view_delta(base: View, view: View) -> ViewDelta:
    """Return the delta from one version of a view to a later one."""
    before = _by_name(base)
    after = _by_name(view)
    names = after.keys()
    return ViewDelta(
        domain=view['domain'],
        base=base['version'],
        version=view['version'],
        joined=[
            member for vm, member in after.items() if before.get(vm) != member
        ],
        left=sorted(before.keys() - names),
        former=[
            FormerDelta(
                more=sorted(set(former) - names),
                less=sorted(names - set(former)),
            )
            for former in view.get('former', ())
        ],
        digest=_digest(view),
    )


def apply_delta(base: View, delta: ViewDelta) -> View | None:
    """Return the view that results from a delta and its base.

    Returns
    -------
    View or None
        None if the base has another version, or the digest of the result
        differs from the delta's.
    """
    if base['version'] != delta['base']:
        return None
    changed = {member['vm']: member for member in delta['joined']}
    left = set(delta['left'])
    merged = {
        vm: member
        for vm, member in {**_by_name(base), **changed}.items()
        if vm not in left
    }
    view = View(
        domain=base['domain'],
        version=delta['version'],
        members=[merged[vm] for vm in sorted(merged)],
        former=[
            sorted((merged.keys() - set(former['less'])) | set(former['more']))
            for former in delta['former']
        ],
    )
    return view if _digest(view) == delta['digest'] else None


class ViewHistory:
    """Latest versions of each view that this agent has adopted.

    Examples
    --------
    >>> history = ViewHistory()
    >>> history.add({'domain': 'a', 'version': 3, 'members': []})
    >>> history.find('a', 3)['members'], history.find('a', 2)
    ([], None)
    """

    def __init__(self) -> None:
        self._views: dict[str, dict[int, View]] = {}

    def add(self, view: View) -> None:
        """Add a view; keep `MAX_VERSIONS_KEPT` of its failure domain."""
        known = self._views.setdefault(view['domain'], {})
        known[view['version']] = view
        if len(known) > MAX_VERSIONS_KEPT:
            known.pop(min(known))

    def find(self, domain: str, version: int) -> View | None:
        """Return a version of a view, or None if it is not kept."""
        return self._views.get(domain, {}).get(version)


def _by_name(view: View) -> dict[str, Member]:
    return {member['vm']: member for member in view['members']}


def _digest(view: View) -> str:
    members = [
        sorted(member.items())
        for member in sorted(view['members'], key=lambda each: each['vm'])
    ]
    former = [sorted(names) for names in view.get('former', ())]
    whole = (view['domain'], view['version'], members, former)
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(whole))

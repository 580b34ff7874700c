"""Measures the bytes and the processor time of a replaced view member."""

import time

import msgspec

from rosemaryweir.membership.view_delta import view_delta
from rosemaryweir.schema.generated.control import View
from rosemaryweir.targets.handover import Handover
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

__all__ = ['adoption_seconds', 'replacement_bytes']

#: Former member lists that a view carries until they are settled.
FORMER_LISTS = 2


def replacement_bytes(members: int) -> float:
    """Return the bytes of a view delta that replaces one member."""
    before, after = _replaced(members)
    return float(len(msgspec.msgpack.encode(view_delta(before, after))))


def adoption_seconds(targets: int, members: int) -> float:
    """Return the processor time of a leaf that adopts such a delta.

    Parameters
    ----------
    targets : int
        Number of targets in the failure domain.
    members : int
        Number of VMs in the failure domain.
    """
    before, after = _replaced(members)
    names = [f'target-{number}' for number in range(targets)]
    handover = Handover(before['members'][-1]['vm'], 0.0)
    handover.adopt_view(before, names, 0.0)
    began = time.process_time()
    handover.adopt_view(after, names, 1.0)
    return time.process_time() - began


def _replaced(members: int) -> tuple[View, View]:
    one_domain = HALVORSEN._replace(domains=HALVORSEN.domains[:1])
    view = static_view(
        one_domain.domains[0], vm_settings(one_domain, members + 1)
    )
    names = [member['vm'] for member in view['members']]
    before: View = {
        **view,
        'members': view['members'][:-1],
        'former': [names[:-1] for _ in range(FORMER_LISTS)],
    }
    after: View = {
        **view,
        'version': view['version'] + 1,
        'members': view['members'][1:],
        'former': [names[:-1] for _ in range(FORMER_LISTS)],
    }
    return before, after

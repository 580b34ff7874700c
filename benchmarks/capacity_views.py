"""What one_domain replaced member of a view costs: its bytes, a leaf's work."""

import time

import msgspec

from rosemaryweir.membership.view_delta import view_delta
from rosemaryweir.schema.generated.control import View
from rosemaryweir.targets.handover import Handover
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

__all__ = ['adoption_seconds', 'replacement_bytes']

#: Former member lists that a view carries while they are not settled.
FORMER_LISTS = 2


def replacement_bytes(members: int) -> float:
    """Return the bytes of the change that replaces one_domain member of a view."""
    before, after = _replaced(members)
    return float(len(msgspec.msgpack.encode(view_delta(before, after))))


def adoption_seconds(targets: int, members: int) -> float:
    """Return the processor time of a leaf that adopts such a change.

    Parameters
    ----------
    targets : int
        Targets of the failure domain.
    members : int
        VMs of the failure domain.
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

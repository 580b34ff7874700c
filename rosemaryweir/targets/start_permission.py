"""Whether a leaf may start work at a target now, and if not, why."""

from rosemaryweir.node.state import NodeState
from rosemaryweir.targets.exclusions import Exclusions
from rosemaryweir.targets.handover import Handover

__all__ = ['StartPermission']


class StartPermission:
    """Permission to start work at targets.

    Parameters
    ----------
    state : NodeState
        Configuration, lease and suspended failure domains.
    exclusions : Exclusions
        Targets that are leaving.
    handover : Handover
        Targets that this leaf owns.

    Attributes
    ----------
    stopped : bool
        Whether this leaf starts no work at all any more.
    """

    def __init__(
        self,
        state: NodeState,
        exclusions: Exclusions,
        handover: Handover,
    ) -> None:
        self.state = state
        self.exclusions = exclusions
        self.handover = handover
        self.stopped = False

    def refusal(self, target: str, now: float) -> str:
        """Return why work may not start at a target; empty when it may.

        Returns
        -------
        str
            ``out``: the target takes no work from anyone.  ``not_owner``:
            not from this leaf, or not at this time.
        """
        if self.stopped or not self.state.may_start(now):
            return 'not_owner'
        if target in self.exclusions or not self.state.target_open(target):
            return 'out'
        return '' if self.handover.ready(target, now) else 'not_owner'

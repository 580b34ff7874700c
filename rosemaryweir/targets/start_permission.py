"""Check of whether a leaf may start work at a target now."""

from rosemaryweir.node.state import NodeState
from rosemaryweir.targets.exclusions import Exclusions
from rosemaryweir.targets.handover import Handover

__all__ = ['StartPermission']


class StartPermission:
    """Permission of a leaf to start work at targets.

    Parameters
    ----------
    state : NodeState
        Configuration, lease and state of the failure domains.
    exclusions : Exclusions
        Excluded targets.
    handover : Handover
        Targets that this leaf owns.

    Attributes
    ----------
    stopped : bool
        Whether this leaf no longer starts any work.
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
        """Return why work may not start at a target; empty if it may.

        Returns
        -------
        str
            ``out``: the target takes no work from any leaf.  ``not_owner``:
            this leaf does not own the target, may not use it yet, has no
            valid lease, or is shutting down.
        """
        if self.stopped or not self.state.may_start(now):
            return 'not_owner'
        if target in self.exclusions or not self.state.target_open(target):
            return 'out'
        return '' if self.handover.ready(target, now) else 'not_owner'

"""Periodic maintenance of each target of a leaf."""

from random import Random

from rosemaryweir.node.action import ProbeTarget
from rosemaryweir.targets.dispatcher import Dispatcher
from rosemaryweir.targets.leaf_target_state import LeafTargetState
from rosemaryweir.targets.start_permission import StartPermission

__all__ = ['TargetMaintenance']

#: Least interval between two probes of a target, in s; the second one holds
#: while the target takes no work.  The interval is spread up to its double.
PROBE_INTERVAL_S = 1.0
EXCLUDED_PROBE_INTERVAL_S = 0.2
#: Time within which a probe must be answered, in s.
PROBE_TIMEOUT_S = 0.5


class TargetMaintenance:
    """Maintains targets independently of their requests.

    Parameters
    ----------
    permission : StartPermission
        Tells whether work may start at a target.
    dispatcher : Dispatcher
        Holds queues and connections.
    rng : random.Random
        Source of the spread of the probes.
    """

    def __init__(
        self,
        permission: StartPermission,
        dispatcher: Dispatcher,
        rng: Random,
    ) -> None:
        self.permission = permission
        self.dispatcher = dispatcher
        self.rng = rng

    def maintain(self, target_state: LeafTargetState, now: float) -> None:
        """Refuse queued work that may not start, close connections, probe."""
        owned = target_state.name in self.permission.handover.owned()
        refusal = self.permission.refusal(target_state.name, now)
        if refusal:
            self.dispatcher.refuse_queued(target_state, refusal, now)
        if refusal == 'out' or not owned:
            self._close_idle(target_state, now)
        if owned and target_state.next_probe_at <= now:
            every = (
                EXCLUDED_PROBE_INTERVAL_S
                if refusal == 'out'
                else PROBE_INTERVAL_S
            )
            target_state.next_probe_at = now + every * (1 + self.rng.random())
            self.dispatcher.actions.append(
                ProbeTarget(
                    target_state.name,
                    target_state.address,
                    now + PROBE_TIMEOUT_S,
                ),
            )

    def _close_idle(self, target_state: LeafTargetState, now: float) -> None:
        for conn in target_state.pool.idle_since_before(now):
            self.dispatcher.close(target_state, conn.number, 'unused', now)

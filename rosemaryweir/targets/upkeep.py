"""Regular looks at each target of a leaf."""

from random import Random

from rosemaryweir.node.action import ProbeTarget
from rosemaryweir.targets.dispatcher import Dispatcher
from rosemaryweir.targets.gate import Gate
from rosemaryweir.targets.leaf_target_state import LeafTargetState

__all__ = ['Upkeep']

#: Least time between two probes of a target, and of one that is out, in s.
PROBE_EVERY = 1.0
PROBE_EXCLUDED = 0.2
PROBE_WITHIN = 0.5


class Upkeep:
    """Looks after targets between their requests.

    Parameters
    ----------
    gate : Gate
        Says whether work may start at a target.
    dispatcher : Dispatcher
        Holds queues and connections.
    rng : random.Random
        Spreads the probes.
    """

    def __init__(
        self,
        gate: Gate,
        dispatcher: Dispatcher,
        rng: Random,
    ) -> None:
        self.gate = gate
        self.dispatcher = dispatcher
        self.rng = rng

    def look_after(self, target_state: LeafTargetState, now: float) -> None:
        """Refuse what waits in vain, close idle connections, probe."""
        owned = target_state.name in self.gate.handover.owned()
        refusal = self.gate.refusal(target_state.name, now)
        if refusal:
            self.dispatcher.refuse_waiting(target_state, refusal, now)
        if refusal == 'out' or not owned:
            self._close_idle(target_state, now)
        if owned and target_state.probe_at <= now:
            every = PROBE_EXCLUDED if refusal == 'out' else PROBE_EVERY
            target_state.probe_at = now + every * (1 + self.rng.random())
            self.dispatcher.actions.append(
                ProbeTarget(
                    target_state.name,
                    target_state.address,
                    now + PROBE_WITHIN,
                ),
            )

    def _close_idle(self, target_state: LeafTargetState, now: float) -> None:
        for conn in target_state.pool.stale(now):
            self.dispatcher.close(target_state, conn.number, 'unused', now)

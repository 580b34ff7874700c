"""The life of an order key in one process.

==============  =========================================================
state           meaning
==============  =========================================================
``claiming``    waits until the claim is durable; nothing was sent
``following``   another attempt has the key and no outcome yet
``sent``        left for a target once; its outcome is awaited
``settled``     has an outcome that waits to be recorded
``dropped``     ended without an outcome of its own
==============  =========================================================

An order is sent only out of ``claiming``, or anew out of ``sent`` after a
truthful refusal; out of ``settled`` and ``dropped`` it never moves.
"""

from typing import NamedTuple

from rosemaryweir.orders.segment import RECLAIM_WINDOW_S, Claim, RecordState
from rosemaryweir.schema.generated.orders import OrderRecord

__all__ = ['LATE_OUTCOME_TIMEOUT_S', 'Conclusion', 'Order', 'OrderSpec']

#: How long a late outcome is awaited after the callers' deadline, in seconds.
LATE_OUTCOME_TIMEOUT_S = 10.0

TRANSITIONS = {
    'claiming': frozenset(('following', 'sent', 'dropped')),
    'following': frozenset(('following', 'sent', 'dropped')),
    'sent': frozenset(('sent', 'settled', 'dropped')),
    'settled': frozenset(('dropped',)),
    'dropped': frozenset(),
}


class OrderSpec(NamedTuple):
    """What a caller asks for."""

    order_key: str
    service: str
    body: str
    digest: str
    domain: str
    retry: bool


class Conclusion(NamedTuple):
    """The outcome of an order."""

    state: RecordState
    reply: str = ''


class Order:
    """An order key that this process works on.

    Parameters
    ----------
    spec : OrderSpec
        What is asked.
    record : OrderRecord
        The claim that is made for it.
    deadline : float
        Time at which its callers are answered.
    arrival : float
        Time of its arrival.

    Attributes
    ----------
    waiters : list of int
        Requests that wait for the outcome.
    send_count : int
        How often it left for a target, each but the last refused.
    """

    def __init__(
        self,
        spec: OrderSpec,
        record: OrderRecord,
        deadline: float,
        arrival: float,
    ) -> None:
        self.spec = spec
        self.claim = Claim(spec.order_key, record, arrival + RECLAIM_WINDOW_S)
        self.deadline = deadline
        self.state = 'claiming'
        self.waiters: list[int] = []
        self.send_count = 0
        self.tried_targets: list[str] = []
        self.poll_count = 0
        self.conclusion: Conclusion | None = None
        self.late_deadline = deadline + LATE_OUTCOME_TIMEOUT_S

    @property
    def send_id(self) -> str:
        """Identifier of the present send."""
        return f'{self.claim.attempt_id}/{self.send_count}'

    @property
    def timer_due(self) -> float:
        """When something is due without an event."""
        if self.waiters or self.state != 'sent':
            return self.deadline
        return self.late_deadline

    def enter_state(self, state: str) -> None:
        """Enter a state.

        Raises
        ------
        ValueError
            If the life of an order has no such move.
        """
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f'{self.state} -> {state}')
        self.state = state

    def record_send(self, target: str) -> None:
        """Count a send to a target."""
        self.enter_state('sent')
        self.send_count += 1
        self.tried_targets.append(target)

    def conclude(self, conclusion: Conclusion) -> None:
        """Take the outcome; it never changes."""
        self.enter_state('settled')
        self.conclusion = conclusion

    def pop_waiters(self) -> list[int]:
        """Return the waiting requests, which wait no longer."""
        waiters = self.waiters
        self.waiters = []
        return waiters

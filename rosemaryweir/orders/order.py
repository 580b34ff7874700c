"""State of an order in one process.

==============  =========================================================
state           meaning
==============  =========================================================
``claiming``    the claim is not durable yet; nothing was sent
``following``   another attempt has claimed the key, without an outcome yet
``sent``        sent to a target; the outcome is pending
``settled``     has an outcome that is not recorded yet
``dropped``     removed from this process
==============  =========================================================

An order is sent from ``claiming`` or ``following`` once its claim is durable,
and again from ``sent`` if the leaf or target reports that it did not run.  It
is never sent from ``settled`` or ``dropped``.
"""

from typing import NamedTuple

from rosemaryweir.orders.segment import RECLAIM_WINDOW_S, Claim, RecordState
from rosemaryweir.schema.generated.orders import OrderRecord

__all__ = ['LATE_OUTCOME_TIMEOUT_S', 'Conclusion', 'Order', 'OrderSpec']

#: Wait for an outcome after the callers' deadline has passed.
LATE_OUTCOME_TIMEOUT_S = 10.0

TRANSITIONS = {
    'claiming': frozenset(('following', 'sent', 'dropped')),
    'following': frozenset(('following', 'sent', 'dropped')),
    'sent': frozenset(('sent', 'settled', 'dropped')),
    'settled': frozenset(('dropped',)),
    'dropped': frozenset(),
}


class OrderSpec(NamedTuple):
    """The content of an order request."""

    order_key: str
    service: str
    body: str
    digest: str
    domain: str
    retry: bool


class Conclusion(NamedTuple):
    """The outcome of an order and the reply of the service."""

    state: RecordState
    reply: str = ''


class Order:
    """An order that this process handles.

    Parameters
    ----------
    spec : OrderSpec
        Content of the request.
    record : OrderRecord
        Claim record of this attempt.
    deadline : float
        Monotonic time by which its callers must be answered.
    arrival : float
        Monotonic time of arrival.

    Attributes
    ----------
    waiters : list of int
        Identifiers of the requests that wait for the outcome.
    send_count : int
        Number of sends; all but the last were refused without running.
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
        """Identifier of the latest send."""
        return f'{self.claim.attempt_id}/{self.send_count}'

    @property
    def timer_due(self) -> float:
        """Time at which the order times out unless an event comes first."""
        if self.waiters or self.state != 'sent':
            return self.deadline
        return self.late_deadline

    def enter_state(self, state: str) -> None:
        """Change the state.

        Raises
        ------
        ValueError
            If the transition from the current state is not allowed.
        """
        if state not in TRANSITIONS[self.state]:
            raise ValueError(
                f'transition {self.state} -> {state} is not allowed',
            )
        self.state = state

    def record_send(self, target: str) -> None:
        """Record a send to a target."""
        self.enter_state('sent')
        self.send_count += 1
        self.tried_targets.append(target)

    def conclude(self, conclusion: Conclusion) -> None:
        """Set the final outcome, which never changes afterwards."""
        self.enter_state('settled')
        self.conclusion = conclusion

    def pop_waiters(self) -> list[int]:
        """Return the waiting requests and remove them from the order."""
        waiters = self.waiters
        self.waiters = []
        return waiters

"""Attempts at orders that a leaf has accepted, to send none twice."""

from rosemaryweir.schema.generated.orders import OrderResult

__all__ = ['RETENTION_S', 'SentOrders']

#: Time for which an attempt is kept after its deadline, in s.
RETENTION_S = 300.0


class SentOrders:
    """Attempts at orders and their results, by attempt identifier.

    Examples
    --------
    >>> orders = SentOrders()
    >>> orders.begin('a', until=2.0, now=1.0)
    True
    >>> orders.begin('a', until=2.0, now=1.5)
    False
    """

    def __init__(self) -> None:
        self._known: dict[str, OrderResult | None] = {}
        self._until: dict[str, float] = {}

    def begin(self, attempt_id: str, until: float, now: float) -> bool:
        """Record an attempt; return whether it is new."""
        self._forget(now)
        if attempt_id in self._known:
            return False
        self._known[attempt_id] = None
        self._until[attempt_id] = until + RETENTION_S
        return True

    def end(self, attempt_id: str, result: OrderResult) -> None:
        """Record the result of an attempt."""
        if attempt_id in self._known:
            self._known[attempt_id] = result

    def result(self, attempt_id: str) -> OrderResult | None:
        """Return the result of an attempt, or None if there is none yet."""
        return self._known.get(attempt_id)

    def _forget(self, now: float) -> None:
        while self._until:
            attempt_id, until = next(iter(self._until.items()))
            if until > now:
                return
            self._until.pop(attempt_id)
            self._known.pop(attempt_id)

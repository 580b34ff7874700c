"""The orders that a leaf was asked to send, so that none is sent twice."""

from rosemaryweir.schema.generated.orders import OrderResult

__all__ = ['MEMORY', 'OrderMemory']

#: How long an attempt is remembered after its deadline, in s.
MEMORY = 300.0


class OrderMemory:
    """Attempts at orders, with their results.

    Examples
    --------
    >>> memory = OrderMemory()
    >>> memory.begin('a', until=2.0, now=1.0)
    True
    >>> memory.begin('a', until=2.0, now=1.5)
    False
    """

    def __init__(self) -> None:
        self._known: dict[str, OrderResult | None] = {}
        self._until: dict[str, float] = {}

    def begin(self, attempt: str, until: float, now: float) -> bool:
        """Note an attempt; return whether it is new."""
        self._forget(now)
        if attempt in self._known:
            return False
        self._known[attempt] = None
        self._until[attempt] = until + MEMORY
        return True

    def end(self, attempt: str, result: OrderResult) -> None:
        """Note the result of an attempt."""
        if attempt in self._known:
            self._known[attempt] = result

    def result(self, attempt: str) -> OrderResult | None:
        """Return the result of an attempt, or None while it has none."""
        return self._known.get(attempt)

    def _forget(self, now: float) -> None:
        while self._until:
            attempt, until = next(iter(self._until.items()))
            if until > now:
                return
            self._until.pop(attempt)
            self._known.pop(attempt)

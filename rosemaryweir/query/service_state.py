"""What an entry keeps for each service."""

from typing import Any

from rosemaryweir.query.admission import Admission
from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.hedge import Hedging
from rosemaryweir.query.pin import Pin
from rosemaryweir.query.request import Asked
from rosemaryweir.query.retry import RETRY_BURST, RETRY_SHARE

__all__ = ['ServiceState']


class ServiceState:
    """Admission, pins, hedging and retry budget of one service.

    Attributes
    ----------
    ejected : list of str
        Targets that are ejected as stragglers.
    checked : float
        When the stragglers were last looked for.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.admission: Admission[Asked] = Admission()
        self.retry_budget = TokenBudget(RETRY_SHARE, RETRY_BURST)
        self.ejected: list[str] = []
        self.checked = 0.0
        self._pins: dict[int, Pin] = {}
        self._hedging: dict[str, Hedging] = {}

    @property
    def idle(self) -> bool:
        """Whether nothing waits or runs."""
        admission = self.admission
        return not admission.queue and not admission.limit.in_flight

    def pin(self, layout: int) -> Pin:
        """Return the pin of a layout; those long replaced are forgotten."""
        known = self._pins.get(layout)
        if known is None:
            known = Pin(layout)
            self._pins[layout] = known
            for old in [each for each in self._pins if each < layout - 1]:
                self._pins.pop(old)
        return known

    def hedging(self, class_name: str) -> Hedging:
        """Return the hedging of a class."""
        known = self._hedging.get(class_name)
        if known is None:
            known = Hedging()
            self._hedging[class_name] = known
        return known

    def status(self) -> dict[str, Any]:
        """Return what the status page shows."""
        limit = self.admission.limit
        return {
            'waiting': len(self.admission.queue),
            'in_flight': limit.in_flight,
            'limit': round(limit.max_in_flight, 1),
            'versions': {
                str(layout): pin.version for layout, pin in self._pins.items()
            },
            'ejected': self.ejected,
        }

"""State that an entry keeps for each service."""

from typing import Any

from rosemaryweir.query.admission import QueryAdmission
from rosemaryweir.query.budget import TokenBudget
from rosemaryweir.query.hedge import Hedging
from rosemaryweir.query.pin import VersionPin
from rosemaryweir.query.request import CallerQuery
from rosemaryweir.query.retry import RETRIES_PER_SUCCESS, RETRY_BURST

__all__ = ['ServiceState']


class ServiceState:
    """Admission, version pins, hedging and retry budget of one service.

    Attributes
    ----------
    ejected : list of str
        Targets ejected as stragglers.
    checked_at : float
        Time of the last check for stragglers.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.admission: QueryAdmission[CallerQuery] = QueryAdmission()
        self.retry_budget = TokenBudget(RETRIES_PER_SUCCESS, RETRY_BURST)
        self.ejected: list[str] = []
        self.checked_at = 0.0
        self._pins: dict[int, VersionPin] = {}
        self._hedging: dict[str, Hedging] = {}

    @property
    def idle(self) -> bool:
        """Whether no query waits or runs."""
        admission = self.admission
        return not admission.queue and not admission.limit.in_flight

    def pin(self, layout: int) -> VersionPin:
        """Return the pin of a layout; a new one drops pins of old layouts."""
        known = self._pins.get(layout)
        if known is None:
            known = VersionPin(layout)
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
        """Return the figures for the status page."""
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

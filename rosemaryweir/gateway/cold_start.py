"""Requests to targets that have just started and bear little.

Load pattern: a failure domain returns with all its targets cold, and every VM
finds them idle.  The limit of a cold target holds for all VMs together and is
a few requests a second, too few to be divided: one VM keeps the target, the
others send it nothing until it is warm.
"""

from collections.abc import Iterable
from hashlib import blake2b

from rosemaryweir.gateway.quota import VmInfo

__all__ = ['ColdGate', 'keeper']

#: Part of the limit that the keeper uses: while views differ, two VMs may
#: both take themselves for the keeper.
USED = 0.45
#: Requests that may follow each other at once.
BURST = 1.0


def keeper(target: str, vms: Iterable[VmInfo]) -> VmInfo:
    """Return the VM that alone may use a cold target.

    Examples
    --------
    >>> vms = [VmInfo('vm-0', 'a'), VmInfo('vm-1', 'a')]
    >>> keeper('target-1', vms) == keeper('target-1', reversed(vms))
    True
    """

    def rank(vm: VmInfo) -> bytes:
        return blake2b(f'cold/{target}/{vm.name}'.encode()).digest()

    return min(vms, key=rank)


class ColdGate:
    """Admits requests to one cold target at a rate.

    Examples
    --------
    >>> gate = ColdGate(rate=4.0, now=0.0)
    >>> gate.admit(now=0.1), gate.admit(now=0.2), gate.admit(now=0.8)
    (True, False, True)
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate * USED
        self._tokens = BURST
        self._filled = now

    def open(self, now: float) -> bool:
        """Return whether a request would be admitted."""
        gained = (now - self._filled) * self._rate
        self._tokens = min(BURST, self._tokens + gained)
        self._filled = now
        return self._tokens >= 1

    def admit(self, now: float) -> bool:
        """Count a request; return False, counting none, above the rate."""
        if not self.open(now):
            return False
        self._tokens -= 1
        return True

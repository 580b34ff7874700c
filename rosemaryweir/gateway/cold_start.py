"""Rate limit of requests to targets that have just started.

When a failure domain returns, all its targets are cold, and every VM finds
them idle. The limit of a cold target holds for all VMs together and is a few
requests a second, too few to be divided: one VM owns the target, and the
others send nothing to it until it is warm.
"""

from collections.abc import Iterable
from hashlib import blake2b

from rosemaryweir.gateway.quota import VmInfo

__all__ = ['ColdStartLimiter', 'choose_owner']

#: Share of the limit that the owner uses: while VMs disagree on which VMs are
#: alive, two of them may both act as the owner.
USED_SHARE = 0.45
#: Requests that may be sent without a pause.
BURST_REQUESTS = 1.0


def choose_owner(target: str, vms: Iterable[VmInfo]) -> VmInfo:
    """Return the only VM that may use a cold target.

    Examples
    --------
    >>> vms = [VmInfo('vm-0', 'a'), VmInfo('vm-1', 'a')]
    >>> choose_owner('target-1', vms) == choose_owner('target-1', reversed(vms))
    True
    """

    def rank(vm: VmInfo) -> bytes:
        return blake2b(f'cold/{target}/{vm.name}'.encode()).digest()

    return min(vms, key=rank)


class ColdStartLimiter:
    """Token bucket of the requests to one cold target.

    Parameters
    ----------
    rate : float
        Requests a second that the target accepts from all VMs together.
    now : float
        Present time.

    Examples
    --------
    >>> limiter = ColdStartLimiter(rate=4.0, now=0.0)
    >>> [limiter.try_take(now) for now in (0.1, 0.2, 0.8)]
    [True, False, True]
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate * USED_SHARE
        self._tokens = BURST_REQUESTS
        self._refilled_at = now

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent, without counting one."""
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(BURST_REQUESTS, self._tokens + gained)
        self._refilled_at = now
        return self._tokens >= 1

    def try_take(self, now: float) -> bool:
        """Count a request; return False, counting none, above the rate."""
        if not self.has_token(now):
            return False
        self._tokens -= 1
        return True

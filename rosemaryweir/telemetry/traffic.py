"""Counts bytes by purpose and by whether they left the failure domain."""

from collections import Counter

__all__ = ['TrafficMeter']


class TrafficMeter:
    """Bytes that one VM exchanged, by purpose and by scope.

    The scope is ``near`` for peers in the VM's own failure domain, ``far``
    for those in another one, and ``unknown`` where it is not known.  Only the
    bytes of the application are counted, without packet headers.

    Parameters
    ----------
    domain : str
        Failure domain of the VM.

    Attributes
    ----------
    counters : Counter
        Bytes by ``bytes_PURPOSE_SCOPE``.

    Examples
    --------
    >>> meter = TrafficMeter('a')
    >>> meter.record('heartbeat', 'b', 100)
    >>> meter.record('heartbeat', 'b', 20)
    >>> meter.record('store', '', 7)
    >>> sorted(meter.counters.items())
    [('bytes_heartbeat_far', 120), ('bytes_store_unknown', 7)]
    """

    def __init__(self, domain: str) -> None:
        self.counters: Counter[str] = Counter()
        self._domain = domain

    def record(self, purpose: str, domain: str, size: int) -> None:
        """Count bytes sent to a peer or received from it.

        Parameters
        ----------
        purpose : str
            What the bytes are for.
        domain : str
            Failure domain of the peer; empty if unknown.
        size : int
            Number of bytes.
        """
        if not domain:
            scope = 'unknown'
        else:
            scope = 'near' if domain == self._domain else 'far'
        self.counters[f'bytes_{purpose}_{scope}'] += size

"""Liveness of leaves: a silent leaf gets probes instead of regular work."""

__all__ = ['LeafHealth']

#: Minimum silence with work outstanding that makes a leaf suspect, in seconds.
MIN_SILENCE_S = 0.08
#: The same as a multiple of the leaf's mean latency; the longer one counts.
SILENCE_FACTOR = 4
#: Interval between attempts sent to a suspect leaf as probes, in seconds.
PROBE_INTERVAL_S = 0.25
#: Weight of a new latency in the running mean.
MEAN_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.01


class LeafHealth:
    """Liveness of one leaf as observed by this entry.

    Attributes
    ----------
    outstanding : int
        Attempts in flight at the leaf.
    incarnation : int
        Incarnation of the process that answered last.  A newer process has
        lost the attempts that were outstanding at the older one.
    """

    __slots__ = (
        'incarnation',
        'mean_latency',
        'name',
        'outstanding',
        'probed_at',
        'silent_since',
        'suspect',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 0
        self.outstanding = 0
        self.silent_since = 0.0
        self.suspect = False
        self.probed_at = 0.0
        self.mean_latency = INITIAL_LATENCY_S

    def record_send(self, now: float) -> None:
        """Record an attempt sent to the leaf."""
        if not self.outstanding:
            self.silent_since = now
        if self.suspect:
            self.probed_at = now
        self.outstanding += 1

    def record_reply(self, latency: float, now: float) -> None:
        """Record a reply of the leaf and its latency, in seconds."""
        self.silent_since = now
        self.suspect = False
        self.mean_latency += (latency - self.mean_latency) * MEAN_WEIGHT

    def update_incarnation(self, incarnation: int) -> bool:
        """Record the incarnation of a message; return True after a restart."""
        known = self.incarnation
        self.incarnation = max(known, incarnation)
        return 0 < known < incarnation

    def check_silence(self, now: float) -> bool:
        """Update whether the leaf is suspect; return True if it became so."""
        max_silence = max(MIN_SILENCE_S, SILENCE_FACTOR * self.mean_latency)
        silent = self.outstanding and now - self.silent_since > max_silence
        became_suspect = bool(silent) and not self.suspect
        self.suspect = self.suspect or became_suspect
        return became_suspect

    def awaits_probe(self, now: float) -> bool:
        """Return whether the leaf is suspect and its next probe is not due."""
        return self.suspect and now - self.probed_at < PROBE_INTERVAL_S

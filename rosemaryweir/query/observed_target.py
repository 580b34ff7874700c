"""What this entry has seen of one target: load, latency, index versions."""

from rosemaryweir.schema.generated.query import Load

__all__ = ['ObservedTarget', 'VersionKey']

#: Layout and index version.
VersionKey = tuple[int, int]

#: Weight of a new latency in the running mean.
NEW_SHARE = 0.05
#: Weight of a new attempt in the share of late ones.
NEW_LATE_SHARE = 0.2
#: Share of late attempts from which a target is slow.
LATE_SHARE = 0.5
#: Latency assumed of a target that has not answered yet, in seconds.
UNKNOWN_LATENCY_S = 0.01
#: How long a target whose leaf may not use it is passed over, in seconds.
CLOSED_S = 0.25
#: Time after such a refusal in which it is not asked at all, in seconds.
SHUT_S = 0.04
#: An attempt given up counts as this multiple of the time waited for it.
GIVEN_UP_FOLD = 2
#: How long a refusal of a version that may still arrive holds, in seconds.
REFUSAL_S = 1
MS = 1000
#: Versions that are remembered for a target.
KEPT_VERSIONS = 6


class ObservedTarget:
    """One target as seen from this entry.

    Attributes
    ----------
    own : int
        Attempts of this entry in flight there.
    reported : int
        Requests in flight and queued there, as its leaf last said; a limit
        below the slots counts as slots in use.
    limit : int
        Its slots.
    latency : float
        Running mean of the latency, in seconds.
    service : float
        Mean time from sending to reply as its leaf has it of all entries'
        requests, without the wait at the leaf, in seconds; 0 for unknown.
    late : float
        Share of the latest attempts that were late.
    samples : int
        Latencies in the mean.
    seen : float
        Time of the last latency.
    weight : float
        Factor on its score; above 1 when it is ejected.
    closed_until : float
        Until then it is passed over: its leaf may not use it.
    current : VersionKey
        What it served last.
    """

    __slots__ = (
        'closed_until',
        'current',
        'late',
        'latency',
        'limit',
        'own',
        'refused',
        'reported',
        'reported_at',
        'samples',
        'seen',
        'served',
        'service',
        'target',
        'trial',
        'weight',
    )

    def __init__(self, target: str, limit: int) -> None:
        self.target = target
        self.limit = limit
        self.own = 0
        self.reported = 0
        self.reported_at = 0.0
        self.latency = UNKNOWN_LATENCY_S
        self.service = 0.0
        self.late = 0.0
        self.samples = 0
        self.seen = 0.0
        self.weight = 1.0
        self.closed_until = 0.0
        self.trial = False
        self.current: VersionKey = (0, 0)
        self.served: set[VersionKey] = set()
        self.refused: dict[VersionKey, float] = {}

    @property
    def pending(self) -> int:
        """Requests that stand before the next one."""
        return max(self.own, self.reported)

    @property
    def slow(self) -> bool:
        """Whether most of its latest attempts were late."""
        return self.late > LATE_SHARE

    @property
    def has_room(self) -> bool:
        """Whether another request would run at once."""
        return self.pending < self.limit

    @property
    def untried(self) -> bool:
        """Whether it is on trial, and its one attempt would run at once.

        A cold limit alone is no load: without work it would never rise.
        """
        return self.trial and not self.own and self.has_room

    def took(self, latency: float, slow: float, now: float) -> None:
        """Count the latency of an attempt.

        It was late if it took longer than `slow`, which nearly all attempts
        at other targets do not.
        """
        if self.trial and latency <= slow:
            self.late = 0.0
        self.trial = False
        self.seen = now
        self.samples += 1
        share = max(NEW_SHARE, 1 / self.samples)
        self.latency += (latency - self.latency) * share
        self.late += ((latency > slow) - self.late) * NEW_LATE_SHARE

    def at_least(self, latency: float, slow: float, now: float) -> None:
        """Count an attempt that was given up after some time."""
        if self.trial:
            # Nothing clears it, or it would be tried again at once.
            self.trial = False
            latency = max(latency, self.latency)
            self.took(latency * GIVEN_UP_FOLD, slow * GIVEN_UP_FOLD, now)
        elif latency > slow or latency > self.latency:
            self.took(latency * GIVEN_UP_FOLD, slow * GIVEN_UP_FOLD, now)

    def forget(self, prior: float) -> None:
        """Forget the latency: the target is tried one attempt at a time."""
        self.latency = prior
        self.service = 0.0
        self.late = min(self.late, LATE_SHARE)
        self.samples = 0
        self.weight = 1
        self.trial = True

    def take_load(self, load: Load, now: float) -> None:
        """Take what its leaf says of its load."""
        ahead = load['in_flight'] + load['queued'] + 1
        self.reported = ahead * self.limit // max(1, load['limit']) - 1
        self.reported_at = now
        self.service = load['latency_ms'] / MS

    def closes(self, now: float) -> None:
        """Take that its leaf may not use it now."""
        self.closed_until = now + CLOSED_S

    def shut(self, now: float) -> bool:
        """Return whether its leaf said a moment ago that it may not use it."""
        return now < self.closed_until - CLOSED_S + SHUT_S

    def serves(self, key: VersionKey) -> bool:
        """Take that it served a version; return whether that is news."""
        if key == self.current:
            return False
        if len(self.served) >= KEPT_VERSIONS:
            self.served.discard(min(self.served))
        self.served.add(key)
        self.refused.pop(key, None)
        self.current = key
        return True

    def refuses(self, key: VersionKey, newest: VersionKey, now: float) -> None:
        """Take that it does not have a version, and what it has instead."""
        self.served.discard(key)
        self.current = (0, 0)
        if len(self.refused) >= KEPT_VERSIONS:
            self.refused.pop(min(self.refused))
        self.refused[key] = now
        if newest != key and newest[1]:
            self.served.add(newest)
            self.refused.pop(newest, None)

    def lacks(self, key: VersionKey, now: float) -> bool:
        """Return whether it is known not to have a version.

        A target that refused a version older than one it has never gets it
        back; a newer one may arrive at any time.
        """
        refused_at = self.refused.get(key)
        if refused_at is None:
            return False
        older = any(served > key for served in self.served)
        return older or now - refused_at < REFUSAL_S

    def has(self, key: VersionKey) -> bool:
        """Return whether it was seen to have a version."""
        return key == self.current or key in self.served

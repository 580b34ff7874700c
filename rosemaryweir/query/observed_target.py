"""Load, latency and index versions of a target as one entry observes them."""

from rosemaryweir.schema.generated.query import Load

__all__ = ['ObservedTarget', 'VersionKey']

#: Layout and index version.
VersionKey = tuple[int, int]

#: Weight of a new latency in the running mean.
LATENCY_WEIGHT = 0.05
#: Weight of a new attempt in the share of late ones.
LATE_WEIGHT = 0.2
#: Share of late attempts above which a target is slow.
SLOW_LATE_SHARE = 0.5
#: Latency assumed for a target that has not answered yet, in seconds.
INITIAL_LATENCY_S = 0.01
#: Time for which a target that its leaf may not use is avoided, in seconds.
UNUSABLE_S = 0.25
#: Part of that time in which the target is not asked at all, in seconds.
NO_ATTEMPT_S = 0.04
#: Factor on the elapsed time of a cancelled attempt, recorded as its latency.
CANCELLED_FACTOR = 2
#: Time for which the refusal of a version that may still arrive is kept, in
#: seconds.
VERSION_REFUSAL_S = 1
MS_PER_S = 1000
#: Versions kept for a target.
MAX_KEPT_VERSIONS = 6


class ObservedTarget:
    """One target as observed by this entry.

    Attributes
    ----------
    own_in_flight : int
        Attempts of this entry in flight at the target.
    reported : int
        Requests in flight and queued at the target as its leaf last reported
        them; slots above a reduced limit count as in use.
    slots : int
        Requests that the target runs at once.
    mean_latency : float
        Running mean of the latency, in seconds.
    service_latency : float
        Mean time from send to reply, in seconds, as the leaf measures it over
        the requests of all entries.  Leaves out the wait at the leaf; 0 if
        unknown.
    late_share : float
        Running mean of the share of late attempts.
    samples : int
        Number of latencies in the mean.
    measured_at : float
        Time of the last latency.
    score_factor : float
        Factor on its score; above 1 while it is ejected.
    unusable_until : float
        Time until which it is avoided because its leaf may not use it.
    on_probation : bool
        Whether it is probed by one attempt before it gets regular work again.
    current_version : VersionKey
        Version that it served last.
    known_versions : set of VersionKey
        Versions that it is known to have.
    refused_versions : dict of VersionKey to float
        Versions that it did not have, with the time of the refusal.
    """

    __slots__ = (
        'current_version',
        'known_versions',
        'late_share',
        'mean_latency',
        'measured_at',
        'name',
        'on_probation',
        'own_in_flight',
        'refused_versions',
        'reported',
        'reported_at',
        'samples',
        'score_factor',
        'service_latency',
        'slots',
        'unusable_until',
    )

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.own_in_flight = 0
        self.reported = 0
        self.reported_at = 0.0
        self.mean_latency = INITIAL_LATENCY_S
        self.service_latency = 0.0
        self.late_share = 0.0
        self.samples = 0
        self.measured_at = 0.0
        self.score_factor = 1.0
        self.unusable_until = 0.0
        self.on_probation = False
        self.current_version: VersionKey = (0, 0)
        self.known_versions: set[VersionKey] = set()
        self.refused_versions: dict[VersionKey, float] = {}

    @property
    def requests_ahead(self) -> int:
        """Requests that run or wait at the target before a new one."""
        return max(self.own_in_flight, self.reported)

    @property
    def slow(self) -> bool:
        """Whether most of its latest attempts were late."""
        return self.late_share > SLOW_LATE_SHARE

    @property
    def has_free_slot(self) -> bool:
        """Whether another request would run at once."""
        return self.requests_ahead < self.slots

    @property
    def can_probe(self) -> bool:
        """Whether it is on probation and an attempt would run at once.

        The reported load need not be 0: slots above a cold limit count as in
        use, and that limit rises only with work.
        """
        return (
            self.on_probation and not self.own_in_flight and self.has_free_slot
        )

    def record_latency(
        self,
        latency: float,
        late_after: float,
        now: float,
    ) -> None:
        """Record the latency of an attempt.

        Parameters
        ----------
        latency : float
            Latency, in seconds.
        late_after : float
            Latency above which an attempt is late: nearly all attempts of the
            service stay below it.
        now : float
            Present time.
        """
        if self.on_probation and latency <= late_after:
            self.late_share = 0.0
        self.on_probation = False
        self.measured_at = now
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.mean_latency += (latency - self.mean_latency) * weight
        self.late_share += (
            (latency > late_after) - self.late_share
        ) * LATE_WEIGHT

    def record_cancelled(
        self,
        latency: float,
        late_after: float,
        now: float,
    ) -> None:
        """Record an attempt that was cancelled after `latency` seconds."""
        if self.on_probation:
            # A cancelled probe must not clear the target, or it would be
            # probed again at once.
            self.on_probation = False
            latency = max(latency, self.mean_latency)
            self.record_latency(
                latency * CANCELLED_FACTOR,
                late_after * CANCELLED_FACTOR,
                now,
            )
        elif latency > late_after or latency > self.mean_latency:
            self.record_latency(
                latency * CANCELLED_FACTOR,
                late_after * CANCELLED_FACTOR,
                now,
            )

    def start_probation(self, prior: float) -> None:
        """Reset the latency to `prior`; probe with one attempt at a time."""
        self.mean_latency = prior
        self.service_latency = 0.0
        self.late_share = min(self.late_share, SLOW_LATE_SHARE)
        self.samples = 0
        self.score_factor = 1
        self.on_probation = True

    def update_load(self, load: Load, now: float) -> None:
        """Record the load that its leaf reports."""
        ahead = load['in_flight'] + load['queued'] + 1
        self.reported = ahead * self.slots // max(1, load['limit']) - 1
        self.reported_at = now
        self.service_latency = load['latency_ms'] / MS_PER_S

    def mark_unusable(self, now: float) -> None:
        """Avoid the target for a time because its leaf may not use it."""
        self.unusable_until = now + UNUSABLE_S

    def refuses_attempts(self, now: float) -> bool:
        """Return whether it was marked unusable in the last `NO_ATTEMPT_S`."""
        return now < self.unusable_until - UNUSABLE_S + NO_ATTEMPT_S

    def record_served(self, key: VersionKey) -> bool:
        """Record the version it served; return whether that has changed."""
        if key == self.current_version:
            return False
        if len(self.known_versions) >= MAX_KEPT_VERSIONS:
            self.known_versions.discard(min(self.known_versions))
        self.known_versions.add(key)
        self.refused_versions.pop(key, None)
        self.current_version = key
        return True

    def record_refused_version(
        self,
        key: VersionKey,
        newest: VersionKey,
        now: float,
    ) -> None:
        """Record that it lacks a version, and the newest that it has."""
        self.known_versions.discard(key)
        self.current_version = (0, 0)
        if len(self.refused_versions) >= MAX_KEPT_VERSIONS:
            self.refused_versions.pop(min(self.refused_versions))
        self.refused_versions[key] = now
        if newest != key and newest[1]:
            self.known_versions.add(newest)
            self.refused_versions.pop(newest, None)

    def lacks_version(self, key: VersionKey, now: float) -> bool:
        """Return whether it is known not to have a version.

        A target never regains a version older than one that it has; a newer
        version may arrive at any time.
        """
        refused_at = self.refused_versions.get(key)
        if refused_at is None:
            return False
        older = any(known > key for known in self.known_versions)
        return older or now - refused_at < VERSION_REFUSAL_S

    def has_version(self, key: VersionKey) -> bool:
        """Return whether it is known to have a version."""
        return key == self.current_version or key in self.known_versions

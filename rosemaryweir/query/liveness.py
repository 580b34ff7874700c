"""Whether a leaf answers: a silent one gets almost no work."""

__all__ = ['LeafHealth']

#: Silence under outstanding work after which a leaf is suspect, in seconds.
SILENCE_S = 0.08
#: The silence in multiples of the leaf's usual time to answer.
SILENCE_FOLD = 4
#: Interval between trials of a suspect leaf, in seconds.
TRIAL_S = 0.25
#: Weight of a new answer time in the running mean.
NEW_SHARE = 0.1
USUAL_S = 0.01


class LeafHealth:
    """One leaf as seen from this entry.

    Attributes
    ----------
    outstanding : int
        Attempts sent there and neither answered nor given up.
    incarnation : int
        Process that answered last; a newer one lost what was outstanding.
    """

    __slots__ = (
        'incarnation',
        'name',
        'outstanding',
        'quiet_since',
        'suspect',
        'tried',
        'usual',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 0
        self.outstanding = 0
        self.quiet_since = 0.0
        self.suspect = False
        self.tried = 0.0
        self.usual = USUAL_S

    def sent(self, now: float) -> None:
        """Count an attempt sent."""
        if not self.outstanding:
            self.quiet_since = now
        if self.suspect:
            self.tried = now
        self.outstanding += 1

    def heard(self, took: float, now: float) -> None:
        """Take that the leaf answered after some time."""
        self.quiet_since = now
        self.suspect = False
        self.usual += (took - self.usual) * NEW_SHARE

    def restarted(self, incarnation: int) -> bool:
        """Take the incarnation of a message; return whether it is new."""
        known = self.incarnation
        self.incarnation = max(known, incarnation)
        return 0 < known < incarnation

    def check(self, now: float) -> bool:
        """Return whether the leaf just became suspect."""
        silence = max(SILENCE_S, SILENCE_FOLD * self.usual)
        quiet = self.outstanding and now - self.quiet_since > silence
        news = bool(quiet) and not self.suspect
        self.suspect = self.suspect or news
        return news

    def closed(self, now: float) -> bool:
        """Return whether the leaf gets no work now."""
        return self.suspect and now - self.tried < TRIAL_S

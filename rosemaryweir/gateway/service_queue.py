"""Queue of the sub-requests that wait for a connection of one service.

Load pattern: more requests than the targets can run.  What has too little time
left for its work is not sent: it would use a connection in vain and make the
next ones late, too.
"""

import heapq
from collections import Counter
from itertools import count, islice

from rosemaryweir.gateway.pending_request import SubRequest
from rosemaryweir.gateway.target_state import Connection

__all__ = ['ServiceQueue']

#: Time that a sub-request holds a connection before the first measurement,
#: in seconds.
INITIAL_SERVICE_TIME_S = 0.02
#: Weight of a new time in the exponential moving average.
SAMPLE_WEIGHT = 0.05
#: Entries of discarded sub-requests that the heap may hold beside as many
#: entries as wait.
MAX_STALE = 64


class ServiceQueue:
    """The queue of one service.

    Ordered by the priority of the route, then by arrival of the request.
    """

    def __init__(self) -> None:
        self.service_time = INITIAL_SERVICE_TIME_S
        self._waiting: dict[SubRequest, None] = {}
        self._heap: list[tuple[int, float, int, SubRequest]] = []
        self._counts: Counter[int] = Counter()
        self._numbers = count()
        #: Time of the send of each attempt in flight, oldest first.
        self._sent_at: dict[int, float] = {}

    def __len__(self) -> int:
        """Return how many sub-requests wait."""
        return len(self._waiting)

    @property
    def waiting(self) -> tuple[SubRequest, ...]:
        """The sub-requests that wait, in the order in which they were added."""
        return tuple(self._waiting)

    def record(self, latency: float) -> None:
        """Add the time that a sub-request held a connection, in seconds."""
        self.service_time += (latency - self.service_time) * SAMPLE_WEIGHT

    def attempt_sent(self, number: int, now: float) -> None:
        """Record that an attempt uses a connection."""
        self._sent_at[number] = now

    def attempt_ended(self, number: int) -> None:
        """Record that the connection of an attempt is free."""
        self._sent_at.pop(number, None)

    def expected_wait(
        self,
        connections: int,
        now: float,
        work: float = 0.0,
        priority: int | None = None,
    ) -> float:
        """Return the expected wait of a new sub-request, in seconds.

        The connections become free in the order in which they were last used.

        Parameters
        ----------
        connections : int
            Connections that serve the queue.
        now : float
            Present time.
        work : float
            Time that a sub-request uses a connection, in seconds; 0 if it is
            unknown.
        priority : int or None
            Priority of its route; None for the last in the queue.
        """
        ahead = sum(
            number
            for rank, number in self._counts.items()
            if priority is None or rank <= priority
        )
        in_use = len(self._sent_at)
        unused = max(0, connections - in_use)
        if ahead < unused:
            return 0.0
        duration = work or self.service_time
        if not in_use:
            return ahead * duration / max(1, connections)
        rounds, position = divmod(ahead - unused, in_use)
        sent_at = next(islice(self._sent_at.values(), position, None))
        return max(0.0, sent_at + duration - now) + rounds * duration

    def add(self, sub_request: SubRequest) -> None:
        """Add a sub-request."""
        sub_request.queued = True
        self._waiting[sub_request] = None
        pending = sub_request.parent
        priority = pending.route.priority
        self._counts[priority] += 1
        self._push((priority, pending.received_at, sub_request))

    def discard(self, sub_request: SubRequest) -> None:
        """Remove a sub-request if it is queued."""
        if sub_request.queued:
            sub_request.queued = False
            self._waiting.pop(sub_request)
            self._counts[sub_request.parent.route.priority] -= 1
            if not self._waiting:
                self._heap.clear()

    def pop_next(
        self, conn: Connection, now: float
    ) -> tuple[SubRequest | None, list[SubRequest]]:
        """Remove the first sub-request to send on a connection.

        Returns
        -------
        found : SubRequest or None
            The sub-request.
        overdue : list of SubRequest
            Those ahead of it that would not end in time; they are removed.
        """
        found = None
        overdue: list[SubRequest] = []
        if not self._waiting:
            return found, overdue
        skipped = []
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            sub_request = entry[-1]
            if sub_request not in self._waiting:
                continue
            if not sub_request.parent.can_end_in_time(now, waited=True):
                overdue.append(sub_request)
                self.discard(sub_request)
            elif _may_carry(conn, sub_request):
                found = sub_request
                self.discard(sub_request)
            else:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found, overdue

    def _push(self, ranked: tuple[int, float, SubRequest]) -> None:
        if len(self._heap) > 2 * len(self._waiting) + MAX_STALE:
            self._heap = [
                entry for entry in self._heap if entry[-1] in self._waiting
            ]
            heapq.heapify(self._heap)
        priority, received_at, sub_request = ranked
        heapq.heappush(
            self._heap,
            (priority, received_at, next(self._numbers), sub_request),
        )


def _may_carry(conn: Connection, sub_request: SubRequest) -> bool:
    """Return whether a connection may carry a sub-request."""
    return (
        conn.target.entry.name not in sub_request.tried_targets
        and conn.number not in sub_request.used_conns
    )

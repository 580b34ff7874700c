"""State of a request that has no response yet."""

from typing import NamedTuple

from rosemaryweir.gateway.action import DecodedReply, InboundRequest
from rosemaryweir.gateway.attempt_outcome import AttemptOutcome
from rosemaryweir.gateway.model import RouteConfig
from rosemaryweir.gateway.route_latency import RouteLatency
from rosemaryweir.gateway.work_time import WorkTime

__all__ = ['FailedAttempt', 'PendingRequest', 'SubRequest', 'SubRequestAttempt']

#: Failed attempts of a request that are kept for its log entry.
MAX_FAILED_ATTEMPTS = 6


class FailedAttempt(NamedTuple):
    """An attempt without success, and how many seconds it took."""

    target_name: str
    kind: str
    took: float
    reason: str


class SubRequestAttempt:
    """One send of a sub-request to a target.

    Parameters
    ----------
    number : int
        Identifies the attempt on this VM.
    sub_request : SubRequest
        What was sent.
    target_name : str
        The target.
    conn : int
        Number of the connection.
    sent_at : float
        Time of the send.
    hedge : bool
        Whether another attempt was open at that time.
    """

    __slots__ = (
        'conn',
        'hedge',
        'number',
        'sent_at',
        'sub_request',
        'target_name',
    )

    def __init__(
        self,
        number: int,
        sub_request: 'SubRequest',
        target_name: str,
        conn: int,
        sent_at: float,
        hedge: bool,
    ) -> None:
        self.number = number
        self.sub_request = sub_request
        self.target_name = target_name
        self.conn = conn
        self.sent_at = sent_at
        self.hedge = hedge


class SubRequest:
    """The part of a request that one service runs.

    Parameters
    ----------
    parent : PendingRequest
        The request.
    service : str
        Name of the service.

    Attributes
    ----------
    tried_targets : set of str
        Targets that it was sent to.
    used_conns : tuple of int
        Connections that it was sent on.  It is not sent on one of them again:
        a second copy of the first reply may arrive there late, and has the
        same request id.
    open_attempts : list of SubRequestAttempt
        Attempts without an outcome.
    send_count : int
        Sends, including those that the target did not run.
    possible_runs : int
        Sends that ran or may have run.
    reply : DecodedReply or None
        The partial reply of a shard, or the reply to relay.
    done : bool
        Whether no further reply is expected.
    queued : bool
        Whether it waits for a connection.
    queued_hedge : bool
        Whether the send that waits for a connection is a hedge.
    """

    __slots__ = (
        'done',
        'open_attempts',
        'parent',
        'possible_runs',
        'queued',
        'queued_hedge',
        'reply',
        'send_count',
        'service',
        'tried_targets',
        'used_conns',
    )

    def __init__(self, parent: 'PendingRequest', service: str) -> None:
        self.parent = parent
        self.service = service
        self.tried_targets: set[str] = set()
        self.used_conns: tuple[int, ...] = ()
        self.open_attempts: list[SubRequestAttempt] = []
        self.send_count = 0
        self.possible_runs = 0
        self.reply: DecodedReply | None = None
        self.done = False
        self.queued = False
        self.queued_hedge = False


class PendingRequest:
    """A request without a final response.

    Parameters
    ----------
    request : InboundRequest
        The request.
    route : RouteConfig
        Its route, of the configuration in force when it was received.
    config_version : int
        Version of that configuration.
    latency : RouteLatency
        Latencies of the route.
    work_time : WorkTime
        Times that targets work on its sub-requests.
    now : float
        Time when it was received.

    Attributes
    ----------
    deadline : float
        Time when the final response is due.
    soft_deadline : float
        Time from which a response is worth less; a query with the minimum
        coverage gets its response then.
    failed_attempts : list of FailedAttempt
        The first attempts that did not succeed.
    """

    __slots__ = (
        'answered',
        'config_version',
        'deadline',
        'failed_attempts',
        'hedge_count',
        'latency',
        'received_at',
        'request',
        'route',
        'soft_deadline',
        'sub_requests',
        'work_time',
    )

    def __init__(
        self,
        request: InboundRequest,
        route: RouteConfig,
        config_version: int,
        latency: RouteLatency,
        work_time: WorkTime,
        now: float,
    ) -> None:
        self.request = request
        self.route = route
        self.config_version = config_version
        self.latency = latency
        self.work_time = work_time
        self.received_at = now
        self.deadline = now
        self.soft_deadline = now
        self.answered = False
        self.hedge_count = 0
        self.sub_requests: list[SubRequest] = []
        self.failed_attempts: list[FailedAttempt] = []

    def record_failed_attempt(
        self, attempt: SubRequestAttempt, outcome: AttemptOutcome, now: float
    ) -> None:
        """Keep an attempt that did not succeed, for the log."""
        if len(self.failed_attempts) < MAX_FAILED_ATTEMPTS:
            took = now - attempt.sent_at
            self.failed_attempts.append(
                FailedAttempt(
                    attempt.target_name, outcome.kind, took, outcome.reason
                ),
            )

    @property
    def covered(self) -> int:
        """Number of sub-requests with a reply."""
        return sum(
            sub_request.reply is not None for sub_request in self.sub_requests
        )

    @property
    def done(self) -> bool:
        """Whether no sub-request expects a further reply."""
        return all(sub_request.done for sub_request in self.sub_requests)

    @property
    def may_have_run(self) -> bool:
        """Whether any target ran, or may have run, a sub-request."""
        return any(
            sub_request.possible_runs for sub_request in self.sub_requests
        )

    def can_end_in_time(self, now: float, waited: bool) -> bool:
        """Return whether a sub-request that is sent now ends in time.

        Parameters
        ----------
        now : float
            Present time.
        waited : bool
            Whether it waits for a connection, so that others could use that
            connection instead: then it has to be almost certain to end.
        """
        estimate = self.work_time.long if waited else self.work_time.typical
        return now + estimate(now) < self.deadline

    def longest_wait(self, now: float) -> float:
        """Return how long a new request may wait for a connection, in seconds.

        A longer queue would not serve more above capacity, but make all of it
        late.  A wait as long as the work keeps the connections in use.
        """
        work = self.work_time.long(now)
        return max(self.soft_deadline - now - work, work)

    def has_min_coverage(self) -> bool:
        """Return whether the replies suffice for a success."""
        share = self.covered / len(self.sub_requests)
        return self.covered > 0 and share >= self.route.min_coverage

    def can_reach_min_coverage(self) -> bool:
        """Return whether the replies may still become sufficient."""
        possible = sum(
            sub_request.reply is not None or not sub_request.done
            for sub_request in self.sub_requests
        )
        share = possible / len(self.sub_requests)
        return possible > 0 and share >= self.route.min_coverage

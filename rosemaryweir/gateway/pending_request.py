"""A caller's request under way: its pieces and the attempts at them."""

from rosemaryweir.gateway.action import DecodedReply, InboundRequest
from rosemaryweir.gateway.model import RouteConfig
from rosemaryweir.gateway.route_latency import Pace

__all__ = ['Attempt', 'Job', 'Piece']


class Attempt:
    """One send of a piece to a target."""

    __slots__ = ('conn', 'hedge', 'number', 'piece', 'sent', 'target')

    def __init__(
        self,
        number: int,
        piece: 'Piece',
        target: str,
        conn: int,
        sent: float,
        hedge: bool,
    ) -> None:
        self.number = number
        self.piece = piece
        self.target = target
        self.conn = conn
        self.sent = sent
        self.hedge = hedge


class Piece:
    """What one service is to do for a request.

    Attributes
    ----------
    tried : set of str
        Targets that it was sent to.
    open : list of Attempt
        Attempts without an outcome.
    ran : int
        Sends that ran or may have run.
    reply : TargetReply or None
        The partial of a shard, or the reply to pass on.
    over : bool
        Whether nothing more will come of it.
    waiting : bool
        Whether it waits for a connection.
    """

    __slots__ = (
        'job',
        'open',
        'over',
        'ran',
        'reply',
        'sends',
        'service',
        'tried',
        'waiting',
        'wants_hedge',
    )

    def __init__(self, job: 'Job', service: str) -> None:
        self.job = job
        self.service = service
        self.tried: set[str] = set()
        self.open: list[Attempt] = []
        self.sends = 0
        self.ran = 0
        self.reply: DecodedReply | None = None
        self.over = False
        self.waiting = False
        self.wants_hedge = False


class Job:
    """A request under way.

    Parameters
    ----------
    ask : Ask
        The request.
    route : Route
        Its route, of the configuration in force when it came.
    version : int
        That configuration's version.
    pace : Pace
        Latencies of the route.
    now : float
        When it came.

    Attributes
    ----------
    deadline : float
        When the final answer is due.
    aim : float
        When an answer is worth less.
    """

    __slots__ = (
        'aim',
        'answered',
        'ask',
        'came',
        'deadline',
        'hedges',
        'pace',
        'pieces',
        'route',
        'version',
    )

    def __init__(
        self,
        ask: InboundRequest,
        route: RouteConfig,
        version: int,
        pace: Pace,
        now: float,
    ) -> None:
        self.ask = ask
        self.route = route
        self.version = version
        self.pace = pace
        self.came = now
        self.deadline = now
        self.aim = now
        self.answered = False
        self.hedges = 0
        self.pieces: list[Piece] = []

    @property
    def covered(self) -> int:
        """Pieces that have a reply."""
        return sum(piece.reply is not None for piece in self.pieces)

    @property
    def over(self) -> bool:
        """Whether nothing more will come of any piece."""
        return all(piece.over for piece in self.pieces)

    @property
    def may_have_run(self) -> bool:
        """Whether any target ran, or may have run, any piece."""
        return any(piece.ran for piece in self.pieces)

    def enough(self) -> bool:
        """Return whether the answer would be a success."""
        share = self.covered / len(self.pieces)
        return self.covered > 0 and share >= self.route.min_coverage

    def attainable(self) -> bool:
        """Return whether enough pieces may still get a reply."""
        possible = sum(
            piece.reply is not None or not piece.over for piece in self.pieces
        )
        share = possible / len(self.pieces)
        return possible > 0 and share >= self.route.min_coverage

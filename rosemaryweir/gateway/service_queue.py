"""Pieces that wait for a connection to a target of one service."""

from rosemaryweir.gateway.pending_request import Piece
from rosemaryweir.gateway.target_state import Target

__all__ = ['Lane']

#: Time of a piece on a target, in seconds, before any was measured.
FIRST_SERVICE_S = 0.02
NEW_SHARE = 0.05


class Lane:
    """The queue of one service.

    The most urgent route goes first, then the piece that came first; a piece
    whose deadline has passed is not sent.
    """

    def __init__(self) -> None:
        self.waiting: list[Piece] = []
        self.service_time = FIRST_SERVICE_S

    def took(self, latency: float) -> None:
        """Count the time that a piece held a connection, in seconds."""
        self.service_time += (latency - self.service_time) * NEW_SHARE

    def wait(self, connections: int) -> float:
        """Return the time that a new piece waits, in seconds.

        Parameters
        ----------
        connections : int
            Connections that serve the queue.
        """
        ahead = len(self.waiting)
        return ahead * self.service_time / max(1, connections)

    def push(self, piece: Piece) -> None:
        """Let a piece wait."""
        piece.waiting = True
        self.waiting.append(piece)

    def drop(self, piece: Piece) -> None:
        """Take a piece out."""
        if piece.waiting:
            piece.waiting = False
            self.waiting.remove(piece)

    def next(self, target: Target, now: float) -> Piece | None:
        """Take out the next piece that a target may get."""
        fits = [
            piece
            for piece in self.waiting
            if target.entry.name not in piece.tried and piece.job.deadline > now
        ]
        if not fits:
            return None
        found = min(
            fits,
            key=lambda piece: (piece.job.route.priority, piece.job.came),
        )
        self.drop(found)
        return found

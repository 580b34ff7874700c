"""One attempt at a target, as a leaf keeps it."""

from typing import Any

__all__ = ['MAX_WORK', 'OVERRUN', 'TargetAttempt']

#: No attempt is given a target for longer, in s; a new owner that can't know
#: what the previous one left behind waits for so long.
MAX_WORK = 2.0

#: Share of its time that a query may wait in the queue of a target: enough is
#: left to go elsewhere.  An order has nowhere else to go.
QUEUE_SHARE = {'query': 0.3, 'order': 1.0}

#: Longest time that work runs on past its deadline, in s.  A target drops a
#: query at its deadline; an order that it has begun it finishes.
OVERRUN = {'query': 0.0, 'order': 10.0}


class TargetAttempt:
    """An attempt: what to send, until when, and whom to tell.

    Attributes
    ----------
    attempt_id : str
        Identifier that the reply must echo.
    batch : object
        Whom to tell; None once the result has been told.
    since, sent_at : float
        When it arrived; when it was sent, or 0.
    wait_until : float
        When it is refused if it still waits.
    conn : int
        Connection that it was sent on; 0 while it waits.
    overtaken : int
        Requests sent later that the target has answered.
    verify_at : float
        When the answer to its cancellation is due; 0 while none was asked.
    done : bool
        Whether it holds nothing any more.
    """

    __slots__ = (
        'attempt_id',
        'batch',
        'body',
        'conn',
        'deadline',
        'done',
        'kind',
        'overtaken',
        'sent_at',
        'since',
        'subject',
        'target',
        'verify_at',
        'wait_until',
    )

    def __init__(
        self,
        kind: str,
        attempt_id: str,
        target: str,
        subject: str,
        body: Any,
        since: float,
        deadline: float,
        batch: Any,
    ) -> None:
        self.kind = kind
        self.attempt_id = attempt_id
        self.target = target
        self.subject = subject
        self.body = body
        self.since = since
        self.deadline = deadline
        self.batch = batch
        self.wait_until = since + QUEUE_SHARE[kind] * (deadline - since)
        self.sent_at = 0.0
        self.conn = 0
        self.overtaken = 0
        self.done = False
        self.verify_at = 0.0

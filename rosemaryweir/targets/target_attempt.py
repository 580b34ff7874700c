"""One attempt at a target, as a leaf keeps it."""

from typing import Any

__all__ = ['MAX_ATTEMPT_S', 'OVERRUN_S', 'TargetAttempt']

#: No attempt is given a target for longer, in s; a new owner that can't know
#: what the previous one left behind waits for so long.
MAX_ATTEMPT_S = 2.0

#: Share of its time that a query may wait in the queue of a target: enough is
#: left to go elsewhere.  An order has nowhere else to go.
MAX_QUEUE_SHARE = {'query': 0.3, 'order': 1.0}

#: Longest time that work runs on past its deadline, in s.  A target drops a
#: query at its deadline; an order that it has begun it finishes.
OVERRUN_S = {'query': 0.0, 'order': 10.0}


class TargetAttempt:
    """An attempt: what to send, until when, and whom to tell.

    Attributes
    ----------
    attempt_id : str
        Identifier that the reply must echo.
    reply_to : object
        Whom to tell; None once the result has been told.
    since, sent_at : float
        When it arrived; when it was sent, or 0.
    queue_deadline : float
        When it is refused if it still waits.
    conn_number : int
        Connection that it was sent on; 0 while it waits.
    later_answers : int
        Requests sent later that the target has answered.
    cancel_reply_due : float
        When the answer to its cancellation is due; 0 while none was asked.
    done : bool
        Whether it holds nothing any more.
    """

    __slots__ = (
        'arrived_at',
        'attempt_id',
        'body',
        'cancel_reply_due',
        'conn_number',
        'deadline',
        'done',
        'kind',
        'later_answers',
        'queue_deadline',
        'reply_to',
        'sent_at',
        'shard_or_key',
        'target',
    )

    def __init__(
        self,
        kind: str,
        attempt_id: str,
        target: str,
        shard_or_key: str,
        body: Any,
        arrived_at: float,
        deadline: float,
        reply_to: Any,
    ) -> None:
        self.kind = kind
        self.attempt_id = attempt_id
        self.target = target
        self.shard_or_key = shard_or_key
        self.body = body
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.reply_to = reply_to
        self.queue_deadline = arrived_at + MAX_QUEUE_SHARE[kind] * (
            deadline - arrived_at
        )
        self.sent_at = 0.0
        self.conn_number = 0
        self.later_answers = 0
        self.done = False
        self.cancel_reply_due = 0.0

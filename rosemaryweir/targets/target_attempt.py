"""State that a leaf keeps of one attempt at a target."""

from typing import Any

__all__ = ['MAX_ATTEMPT_S', 'OVERRUN_S', 'TargetAttempt']

#: Longest time from arrival to deadline of an attempt, in s.  A new owner that
#: does not know which attempts of the previous one still run waits this long.
MAX_ATTEMPT_S = 2.0

#: Share of the time to its deadline that an attempt may wait in the queue of a
#: target.  A query must have enough time left for another target; an order
#: can't go to another one.
MAX_QUEUE_SHARE = {'query': 0.3, 'order': 1.0}

#: Longest time that an attempt may run past its deadline, in s.  A target drops
#: a query at its deadline, but finishes an order that it has begun.
OVERRUN_S = {'query': 0.0, 'order': 10.0}


class TargetAttempt:
    """One attempt: content, deadlines, progress and receiver of the result.

    Attributes
    ----------
    attempt_id : str
        Identifier that the reply must echo.
    reply_to : object
        Query batch or order origin that gets the result; None once it has
        been reported.
    arrived_at, sent_at : float
        When the leaf got it, and when it was sent to the target, or 0.
    queue_deadline : float
        When it is refused if it still waits in the queue.
    conn_number : int
        Number of the connection that it was sent on; 0 while it waits.
    later_answers : int
        Number of later requests that the target has answered.
    cancel_reply_due : float
        When the answer to its cancellation is due; 0 if it was not cancelled.
    done : bool
        Whether it is over: neither queued nor in flight.
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

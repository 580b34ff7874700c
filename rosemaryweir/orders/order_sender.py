"""Sending of orders with a durable claim to leaves."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.node.action import Action
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.answer import Denial
from rosemaryweir.orders.order import Order
from rosemaryweir.orders.order_completion import OrderCompletion
from rosemaryweir.orders.target_choice import (
    OrderDestination,
    build_send,
    choose_destination,
)

__all__ = ['OrderSender']

#: Minimum time before the deadline at which an order is still sent.
MIN_SEND_TIME_S = 0.02
#: Targets to which one order is sent, if all but the last refuse it.
MAX_SENDS = 3

Actions = Iterator[Action]


class OrderSender:
    """Sends the orders of one entry.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    endings : Endings
        Completes the orders that cannot be sent.
    rng : random.Random
        Random number generator for the choice of targets.
    """

    def __init__(
        self,
        state: NodeState,
        completion: OrderCompletion,
        rng: Random,
    ) -> None:
        self._state = state
        self._completion = completion
        self._rng = rng

    def send(self, order: Order, now: float) -> Actions:
        """Send an order whose claim by this process is durable."""
        if not self._state.may_start(now):
            denial = Denial('fenced', 'not_run', 'this VM may start no work')
            yield from self._completion.release(order, denial, now)
            return
        destination = self._destination(order)
        if destination is None:
            denial = Denial(
                'no_capacity', 'not_run', 'no target accepts orders'
            )
            yield from self._completion.release(order, denial, now)
        elif order.deadline - now < MIN_SEND_TIME_S:
            denial = Denial(
                'deadline', 'not_run', 'too little time left to send'
            )
            yield from self._completion.release(order, denial, now)
        else:
            order.record_send(destination.target)
            generation = self._state.config['generation']
            yield build_send(order, destination, generation, now)

    def resend(self, order: Order, reason: str, now: float) -> Actions:
        """Send an order that was refused without running to another target."""
        if (
            order.send_count < MAX_SENDS
            and self._destination(order) is not None
        ):
            yield from self.send(order, now)
            return
        denial = Denial('no_capacity', 'not_run', f'targets refused: {reason}')
        yield from self._completion.release(order, denial, now)

    def _destination(self, order: Order) -> OrderDestination | None:
        spec = order.spec
        return choose_destination(
            self._state,
            spec.service,
            spec.domain,
            order.tried_targets,
            self._rng,
        )

"""Sending of orders whose claim is durable, each once."""

from collections.abc import Iterator
from random import Random

from rosemaryweir.node.action import Action
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.answer import Denial
from rosemaryweir.orders.endings import Endings
from rosemaryweir.orders.life import Order
from rosemaryweir.orders.target_choice import Route, choose_route, send_order

__all__ = ['Sender']

#: Least time that must be left when an order is sent, in seconds.
SEND_MARGIN_S = 0.02
#: Targets that one order is offered at most.
MOST_SENDS = 3

Actions = Iterator[Action]


class Sender:
    """Sends the orders of one entry.

    Parameters
    ----------
    state : NodeState
        What the parts of the node share.
    endings : Endings
        How an order ends that can't be sent.
    rng : random.Random
        The source of chance.
    """

    def __init__(
        self,
        state: NodeState,
        endings: Endings,
        rng: Random,
    ) -> None:
        self._state = state
        self._endings = endings
        self._rng = rng

    def send(self, order: Order, now: float) -> Actions:
        """Send an order whose claim is durable and ours."""
        if not self._state.may_start(now):
            denial = Denial('fenced', 'not_run', 'this VM may start no work')
            yield from self._endings.release(order, denial, now)
            return
        route = self._route(order)
        if route is None:
            denial = Denial('no_capacity', 'not_run', 'no target takes orders')
            yield from self._endings.release(order, denial, now)
        elif order.deadline - now < SEND_MARGIN_S:
            denial = Denial('deadline', 'not_run', 'too late to be sent')
            yield from self._endings.release(order, denial, now)
        else:
            order.note_send(route.target)
            generation = self._state.config['generation']
            yield send_order(order, route, generation, now)

    def send_anew(self, order: Order, reason: str, now: float) -> Actions:
        """Offer an order that was refused without running to another target."""
        if order.sends < MOST_SENDS and self._route(order) is not None:
            yield from self.send(order, now)
            return
        denial = Denial('no_capacity', 'not_run', f'targets refused: {reason}')
        yield from self._endings.release(order, denial, now)

    def _route(self, order: Order) -> Route | None:
        spec = order.spec
        return choose_route(
            self._state,
            spec.service,
            spec.domain,
            order.targets,
            self._rng,
        )

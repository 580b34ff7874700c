"""Choice of the target for an order."""

from collections.abc import Collection
from random import Random
from typing import NamedTuple

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.state import NodeState
from rosemaryweir.orders.order import Order
from rosemaryweir.schema.generated.control import Member
from rosemaryweir.schema.generated.orders import OrderSend
from rosemaryweir.targets.ownership import owner

__all__ = ['OrderDestination', 'build_send', 'choose_destination']

MS_PER_SECOND = 1000


class OrderDestination(NamedTuple):
    """A target and the VM whose leaf owns it."""

    target: str
    domain: str
    member: Member
    view: int


def choose_destination(
    state: NodeState,
    service: str,
    domain: str,
    tried: Collection[str],
    rng: Random,
) -> OrderDestination | None:
    """Return a random available target for an order, or None.

    Targets in the caller's failure domain are preferred.  Targets that have
    refused this order are excluded.
    """
    known = state.service(service)
    if known is None:
        return None
    names = [
        name
        for shard in known['shards'].values()
        for name in shard['targets']
        if name not in tried and state.target_open(name)
    ]
    rng.shuffle(names)
    targets = state.config['targets']
    names.sort(key=lambda name: targets[name]['domain'] != domain)
    destinations = (_destination(state, name) for name in names)
    return next(
        (
            destination
            for destination in destinations
            if destination is not None
        ),
        None,
    )


def build_send(
    order: Order,
    destination: OrderDestination,
    generation: int,
    now: float,
) -> SendPeer:
    """Return the message that sends an order to its target's leaf."""
    spec = order.spec
    message = OrderSend(
        kind='order_send',
        order_key=spec.order_key,
        attempt=order.send_id,
        service=spec.service,
        target=destination.target,
        body=spec.body,
        remaining_ms=(order.deadline - now) * MS_PER_SECOND,
        generation=generation,
        view=destination.view,
    )
    to = f'{destination.member["vm"]}/leaf'
    address = destination.member['leaf_peer']
    return SendPeer(to, address, message, order.deadline)


def _destination(state: NodeState, name: str) -> OrderDestination | None:
    target = state.target(name)
    if target is None:
        return None
    view = state.views.get(target['domain'])
    if view is None:
        return None
    vm = owner(name, view)
    member = None if vm is None else state.member(vm)
    if member is None:
        return None
    return OrderDestination(name, target['domain'], member, view['version'])

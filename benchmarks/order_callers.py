"""Callers that place orders in virtual time, and records of the effects."""

from random import Random
from typing import Any, NamedTuple

from rosemaryweir.node.action import StoreGet, StoreList, StorePut
from rosemaryweir.orders.segment import decode_segment
from rosemaryweir.testing import Ask, Cluster, Write

__all__ = ['EntryTraffic', 'OrderCallers', 'OutcomeHistory', 'PlacedOrder']

DEADLINE_MS = 2000
#: Time from a request until its caller hangs up; longer than the deadline.
HANG_UP_S = 2.4
#: Mean wait before a caller's second try; later waits grow linearly.
RETRY_S = 0.3
MAX_TRIES = 5
#: Share of the requests whose callers hang up within `RETRY_S`.
HANG_UP_SHARE = 0.01
FINAL_OUTCOMES = ('done', 'failed')
ORDERS_PREFIX = 'orders/'


class OrderAnswer(NamedTuple):
    """An answer to a caller.

    ``outcome`` is the reason for refused orders; ``ran`` is then set.
    """

    when: float
    outcome: str
    ran: str
    reply: str = ''


class PlacedOrder:
    """One order with its tries and answers."""

    def __init__(self, order_key: str, service: str) -> None:
        self.order_key = order_key
        self.service = service
        self.try_times: list[float] = []
        self.answers: list[OrderAnswer] = []
        self.finished = False


class OrderCallers:
    """Place orders at random VMs and retry at others until an outcome."""

    def __init__(
        self,
        cluster: Cluster,
        services: tuple[str, ...],
        rng: Random,
    ) -> None:
        self.cluster = cluster
        self.orders: list[PlacedOrder] = []
        self.first_latencies: list[float] = []
        self._services = services
        self._rng = rng
        self.vms = sorted(cluster.settings)

    def remove_vm(self, vm: str) -> None:
        """Stop sending requests to a VM."""
        self.vms = [each for each in self.vms if each != vm]

    def place(self, count: int, rate: float) -> float:
        """Schedule orders at a mean rate; return the delay of the last."""
        when = 0.0
        for _ in range(count):
            when += self._rng.expovariate(rate)
            self.cluster.scheduler.after(when, self._place_next)
        return when

    def _place_next(self) -> None:
        service = self._rng.choice(self._services)
        order = PlacedOrder(f'order-{len(self.orders)}', service)
        self.orders.append(order)
        self._try(order, '')

    def _try(self, order: PlacedOrder, excluded: str) -> None:
        vms = [vm for vm in self.vms if vm != excluded]
        vm = self._rng.choice(vms)
        number = len(order.try_times)
        order.try_times.append(self.cluster.now)
        body = {
            'service': order.service,
            'order_key': order.order_key,
            'body': f'content of {order.order_key}',
            'deadline_ms': DEADLINE_MS,
            'retry': number > 0,
        }

        def answered(ask: Ask) -> None:
            self._handle_answer(order, number, ask)

        ask = self.cluster.ask(vm, 'order', body, on_answer=answered)
        hangs_up_early = self._rng.random() < HANG_UP_SHARE
        wait = self._rng.random() * RETRY_S if hangs_up_early else HANG_UP_S
        self.cluster.scheduler.after(wait, self._hang_up, order, number, ask)

    def _handle_answer(self, order: PlacedOrder, number: int, ask: Ask) -> None:
        if order.finished or len(order.try_times) != number + 1:
            return
        if ask.answer is None:
            self._retry(order, ask.vm)
            return
        outcome = ask.answer.get('outcome') or ask.answer['reason']
        ran = ask.answer.get('ran', '')
        reply = ask.answer.get('reply', '')
        order.answers.append(OrderAnswer(self.cluster.now, outcome, ran, reply))
        if number == 0:
            self.first_latencies.append(self.cluster.now - ask.asked)
        if outcome in FINAL_OUTCOMES:
            order.finished = True
        else:
            self._retry(order, ask.vm)

    def _retry(self, order: PlacedOrder, excluded: str) -> None:
        if len(order.try_times) >= MAX_TRIES:
            order.finished = True
            return
        wait = RETRY_S * self._rng.uniform(0.5, 1.5) * len(order.try_times)
        self.cluster.scheduler.after(wait, self._try, order, excluded)

    def _hang_up(self, order: PlacedOrder, number: int, ask: Ask) -> None:
        waiting = len(order.try_times) == number + 1 and not ask.answered
        if order.finished or not waiting:
            return
        self.cluster.hang_up(ask)
        ask.on_answer = None
        self._retry(order, ask.vm)


class OutcomeHistory(list[Write]):
    """A store history that keeps only the outcomes of orders.

    Attributes
    ----------
    durable_outcomes : dict of str to (float, str, str)
        Time of the first write of a key's outcome, its state and reply.
    changed_count : int
        Changes of recorded outcomes.
    largest_bytes : int
        Size of the largest object written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.durable_outcomes: dict[str, tuple[float, str, str]] = {}
        self.changed_count = 0
        self.largest_bytes = 0

    def append(self, write: Write) -> None:
        """Evaluate a write instead of keeping it."""
        if not write.obj.key.startswith(ORDERS_PREFIX):
            return
        self.largest_bytes = max(self.largest_bytes, len(write.obj.content))
        for key, record in decode_segment(write.obj.content)['records'].items():
            if record['state'] in {'claimed', 'released'}:
                continue
            seen = (write.when, record['state'], record['reply'])
            known = self.durable_outcomes.setdefault(key, seen)
            self.changed_count += known[1:] != seen[1:]


class EntryTraffic:
    """Record sends of orders to leaves, and count calls to the store."""

    def __init__(self) -> None:
        self.send_times: dict[str, list[float]] = {}
        self.read_count = 0
        self.write_count = 0
        self._cluster: Cluster | None = None

    def size_of(self, message: Any) -> int:
        """Record a message; the `size_of` hook of `Cluster`."""
        if message['kind'] == 'order_send' and self._cluster is not None:
            sent = self.send_times.setdefault(message['order_key'], [])
            sent.append(self._cluster.now)
        return 0

    def watch(self, cluster: Cluster) -> None:
        """Count the calls to the cluster's store."""
        self._cluster = cluster
        call = cluster.store.call

        def counted_call(client: str, action: Any, deliver: Any) -> None:
            self._count(action)
            call(client, action, deliver)

        cluster.store.call = counted_call  # type: ignore[method-assign]

    def _count(self, action: Any) -> None:
        if not getattr(action, 'call', '').startswith('orders:'):
            return
        self.write_count += isinstance(action, StorePut)
        self.read_count += isinstance(action, (StoreGet, StoreList))

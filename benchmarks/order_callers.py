"""Callers of orders in virtual time, and what the fakes saw of them."""

from random import Random
from typing import Any, NamedTuple

from rosemaryweir.node.action import StoreGet, StoreList, StorePut
from rosemaryweir.orders.segment import decode_segment
from rosemaryweir.testing import Ask, Cluster, Write

__all__ = ['Callers', 'Placed', 'StoreLog', 'Wire']

DEADLINE_MS = 2000
#: How long a caller waits beyond its deadline before it hangs up, in seconds.
PATIENCE_S = 2.4
#: Wait before a caller tries again, in seconds.
RETRY_S = 0.3
TRIES = 5
HANG_UP_SHARE = 0.01
FINAL = ('done', 'failed')
ORDERS_PREFIX = 'orders/'


class Said(NamedTuple):
    """What a caller was told: an outcome or a reason, and ``ran``."""

    when: float
    told: str
    ran: str
    reply: str = ''


class Placed:
    """One order and its tries."""

    def __init__(self, order_key: str, service: str) -> None:
        self.order_key = order_key
        self.service = service
        self.asked: list[float] = []
        self.said: list[Said] = []
        self.ended = False


class Callers:
    """Place orders at random VMs; try again elsewhere until an outcome."""

    def __init__(
        self,
        cluster: Cluster,
        services: tuple[str, ...],
        rng: Random,
    ) -> None:
        self.cluster = cluster
        self.placed: list[Placed] = []
        self.waits: list[float] = []
        self._services = services
        self._rng = rng
        self.vms = sorted(cluster.settings)

    def avoid(self, vm: str) -> None:
        """Use a VM no more."""
        self.vms = [each for each in self.vms if each != vm]

    def place(self, count: int, rate: float) -> float:
        """Place orders at a rate; return the time of the last."""
        when = 0.0
        for _ in range(count):
            when += self._rng.expovariate(rate)
            self.cluster.scheduler.after(when, self._first)
        return when

    def _first(self) -> None:
        service = self._rng.choice(self._services)
        order = Placed(f'order-{len(self.placed)}', service)
        self.placed.append(order)
        self._try(order, '')

    def _try(self, order: Placed, avoid: str) -> None:
        vms = [vm for vm in self.vms if vm != avoid]
        vm = self._rng.choice(vms)
        number = len(order.asked)
        order.asked.append(self.cluster.now)
        body = {
            'service': order.service,
            'order_key': order.order_key,
            'body': f'content of {order.order_key}',
            'deadline_ms': DEADLINE_MS,
            'retry': number > 0,
        }

        def answered(ask: Ask) -> None:
            self._answered(order, number, ask)

        ask = self.cluster.ask(vm, 'order', body, on_answer=answered)
        hasty = self._rng.random() < HANG_UP_SHARE
        wait = self._rng.random() * RETRY_S if hasty else PATIENCE_S
        self.cluster.scheduler.after(wait, self._impatient, order, number, ask)

    def _answered(self, order: Placed, number: int, ask: Ask) -> None:
        if order.ended or len(order.asked) != number + 1:
            return
        if ask.answer is None:
            self._again(order, ask.vm)
            return
        told = ask.answer.get('outcome') or ask.answer['reason']
        ran = ask.answer.get('ran', '')
        reply = ask.answer.get('reply', '')
        order.said.append(Said(self.cluster.now, told, ran, reply))
        if number == 0:
            self.waits.append(self.cluster.now - ask.asked)
        if told in FINAL:
            order.ended = True
        else:
            self._again(order, ask.vm)

    def _again(self, order: Placed, avoid: str) -> None:
        if len(order.asked) >= TRIES:
            order.ended = True
            return
        wait = RETRY_S * self._rng.uniform(0.5, 1.5) * len(order.asked)
        self.cluster.scheduler.after(wait, self._try, order, avoid)

    def _impatient(self, order: Placed, number: int, ask: Ask) -> None:
        waiting = len(order.asked) == number + 1 and not ask.answered
        if order.ended or not waiting:
            return
        self.cluster.hang_up(ask)
        ask.on_answer = None
        self._again(order, ask.vm)


class StoreLog(list[Write]):
    """The store's history, reduced to what became of each order key.

    Attributes
    ----------
    durable : dict of str to (float, str, str)
        When the outcome of a key was written first, its state and reply.
    changed : int
        Recorded outcomes that were changed later.
    largest : int
        Bytes of the largest object.
    """

    def __init__(self) -> None:
        super().__init__()
        self.durable: dict[str, tuple[float, str, str]] = {}
        self.changed = 0
        self.largest = 0

    def append(self, write: Write) -> None:
        """Take a write of the store."""
        if not write.obj.key.startswith(ORDERS_PREFIX):
            return
        self.largest = max(self.largest, len(write.obj.content))
        for key, record in decode_segment(write.obj.content)['records'].items():
            if record['state'] in {'claimed', 'released'}:
                continue
            seen = (write.when, record['state'], record['reply'])
            known = self.durable.setdefault(key, seen)
            self.changed += known[1:] != seen[1:]


class Wire:
    """What left the entries: sends of orders, and calls to the store."""

    def __init__(self) -> None:
        self.sends: dict[str, list[float]] = {}
        self.reads = 0
        self.writes = 0
        self._cluster: Cluster | None = None

    def size_of(self, message: Any) -> int:
        """See a message between processes; a hook of `Cluster`."""
        if message['kind'] == 'order_send' and self._cluster is not None:
            sent = self.sends.setdefault(message['order_key'], [])
            sent.append(self._cluster.now)
        return 0

    def watch(self, cluster: Cluster) -> None:
        """See the calls to a store."""
        self._cluster = cluster
        call = cluster.store.call

        def counted(client: str, action: Any, deliver: Any) -> None:
            self._count(action)
            call(client, action, deliver)

        cluster.store.call = counted  # type: ignore[method-assign]

    def _count(self, action: Any) -> None:
        if not getattr(action, 'call', '').startswith('orders:'):
            return
        self.writes += isinstance(action, StorePut)
        self.reads += isinstance(action, (StoreGet, StoreList))

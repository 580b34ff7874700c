"""Open loads on the users' deployments in virtual time, with windows."""

from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

from rosemaryweir.testing import Ask, Cluster, Deployment

__all__ = ['Stream', 'Streams', 'Window', 'quantile', 'streams_of', 'windows']

#: Mean service time of a fake target whose median is 10 ms, in s.
MEAN_S = 0.0122
MS = 1000.0
#: By then what was on its way to a VM has arrived, in s.
ARRIVAL_S = 0.01
HTTP_OK = 200


class Stream(NamedTuple):
    """Queries of one class to one service; ``rate`` is a second."""

    service: str
    query_class: str
    rate: float
    deadline: float


class Window(NamedTuple):
    """Answers to the queries asked within one second."""

    start: float
    asked: int
    service: float
    p99_ms: float


def streams_of(
    deployment: Deployment,
    shares: dict[str, float],
) -> list[Stream]:
    """Return streams that use a share of the capacity of query services."""
    sizes = {size.name: size for size in deployment.services}
    found = []
    for name, share in shares.items():
        size = sizes[name]
        rate = share * size.slots * size.replicas / MEAN_S
        klass = _class_of(deployment, name)
        deadline = deployment.classes[klass]['deadline_ms'] / MS
        found.append(Stream(name, klass, rate, deadline))
    return found


def _class_of(deployment: Deployment, service: str) -> str:
    urgent = {'patrol-desk': 'street', 'crew-brief': 'dispatch'}
    klass = urgent.get(service, 'default')
    return klass if klass in deployment.classes else 'default'


class Streams:
    """Callers that ask at a rate, whatever becomes of their requests.

    Attributes
    ----------
    asks : list of tuple of Stream and Ask
        Every request, with the stream that it belongs to.
    marks : list of tuple
        Name, start and end of each phase.
    vms : list of str
        VMs that callers ask; change it when the directory would.
    """

    def __init__(
        self,
        cluster: Cluster,
        streams: Iterable[Stream],
        seed: int,
    ) -> None:
        self.cluster = cluster
        self.streams = tuple(streams)
        self.rng = Random(seed)
        self.vms = sorted(cluster.settings)
        self.asks: list[tuple[Stream, Ask]] = []
        self.marks: list[tuple[str, float, float]] = []
        self._until = 0.0

    def run(self, seconds: float) -> None:
        """Ask for so long."""
        self._until = self.cluster.now + seconds
        for stream in self.streams:
            self._next(stream)
        self.cluster.run(seconds)

    def leave(self, vms: Iterable[str]) -> None:
        """Let callers leave VMs; those whose requests were cut ask again."""
        self.vms = [vm for vm in self.vms if vm not in set(vms)]
        self._ask_cut()
        self.cluster.scheduler.after(ARRIVAL_S, self._ask_cut)

    def since(self, start: float, end: float) -> list[tuple[Stream, Ask]]:
        """Return the requests of a span of time."""
        return [each for each in self.asks if start <= each[1].asked < end]

    def _ask_cut(self) -> None:
        for place, (stream, ask) in enumerate(self.asks):
            if ask.cut and not ask.answered:
                self.asks[place] = (stream, self._ask_again(ask))

    def _ask_again(self, ask: Ask) -> Ask:
        vm = self.rng.choice(self.vms)
        again = self.cluster.ask(vm, 'query', ask.body)
        again.asked = ask.asked
        return again

    def _next(self, stream: Stream) -> None:
        wait = self.rng.expovariate(stream.rate)
        if self.cluster.now + wait < self._until:
            self.cluster.scheduler.after(wait, self._ask, stream)

    def _ask(self, stream: Stream) -> None:
        body = {
            'service': stream.service,
            'query': 'text',
            'class': stream.query_class,
        }
        ask = self.cluster.ask(self.rng.choice(self.vms), 'query', body)
        self.asks.append((stream, ask))
        self._next(stream)


def served(stream: Stream, ask: Ask) -> bool:
    """Return whether a request was answered as promised."""
    in_time = ask.answered - ask.asked <= stream.deadline
    return ask.status == HTTP_OK and in_time and _promised(ask)


def _promised(ask: Ask) -> bool:
    return bool(ask.answer['outcome'] != 'degraded')


def windows(
    asks: list[tuple[Stream, Ask]],
    start: float,
    end: float,
) -> Iterator[Window]:
    """Yield what became of the requests of each second."""
    at = start
    while at + 1 <= end:
        within = [each for each in asks if at <= each[1].asked < at + 1]
        if within:
            yield _window(at, within)
        at += 1


def _window(at: float, asks: list[tuple[Stream, Ask]]) -> Window:
    good = sum(served(*each) for each in asks)
    took = [ask.answered - ask.asked for _, ask in asks if ask.answered]
    return Window(
        round(at, 3),
        len(asks),
        good / len(asks),
        round(quantile(took, 0.99) * MS, 1),
    )


def quantile(samples: Iterable[float], share: float) -> float:
    """Return the sample that a share of the samples does not exceed."""
    ranked = sorted(samples)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]

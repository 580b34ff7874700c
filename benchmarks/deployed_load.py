"""Open-loop query loads on the users' deployments, in virtual time."""

from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

from rosemaryweir.testing import Ask, Cluster, Deployment

__all__ = [
    'DeployedLoad',
    'LoadWindow',
    'QueryStream',
    'make_streams',
    'quantile',
    'windows',
]

#: Mean service time of a fake target whose median is 10 ms.
MEAN_SERVICE_S = 0.0122
MS_PER_S = 1000.0
#: Time by which requests in transit have reached a VM.
IN_TRANSIT_S = 0.01
HTTP_OK = 200


class QueryStream(NamedTuple):
    """Queries of one class to one service, ``rate`` per second."""

    service: str
    query_class: str
    rate: float
    deadline: float


class LoadWindow(NamedTuple):
    """Statistics of the queries sent within one second."""

    start: float
    asked: int
    served_share: float
    p99_ms: float


def make_streams(
    deployment: Deployment,
    shares: dict[str, float],
) -> list[QueryStream]:
    """Return streams that load each service to a share of its capacity."""
    sizes = {size.name: size for size in deployment.services}
    found = []
    for name, share in shares.items():
        size = sizes[name]
        rate = share * size.slots * size.replicas / MEAN_SERVICE_S
        query_class = _class_of(deployment, name)
        deadline = deployment.classes[query_class]['deadline_ms'] / MS_PER_S
        found.append(QueryStream(name, query_class, rate, deadline))
    return found


def _class_of(deployment: Deployment, service: str) -> str:
    class_names = {'patrol-desk': 'street', 'crew-brief': 'dispatch'}
    query_class = class_names.get(service, 'default')
    return query_class if query_class in deployment.classes else 'default'


class DeployedLoad:
    """Open-loop callers: they send at a rate, whatever the answers.

    Attributes
    ----------
    asks : list of tuple of QueryStream and Ask
        All requests, with their streams.
    phase_times : list of tuple
        Name, start and end of each phase.
    vms : list of str
        VMs that callers use, as the directory would list them.
    """

    def __init__(
        self,
        cluster: Cluster,
        streams: Iterable[QueryStream],
        seed: int,
    ) -> None:
        self.cluster = cluster
        self.streams = tuple(streams)
        self.rng = Random(seed)
        self.vms = sorted(cluster.settings)
        self.asks: list[tuple[QueryStream, Ask]] = []
        self.phase_times: list[tuple[str, float, float]] = []
        self._until = 0.0

    def run(self, seconds: float) -> None:
        """Send requests for some seconds."""
        self._until = self.cluster.now + seconds
        for stream in self.streams:
            self._schedule_next(stream)
        self.cluster.run(seconds)

    def remove_vms(self, vms: Iterable[str]) -> None:
        """Stop using VMs, and repeat the requests that were cut."""
        self.vms = [vm for vm in self.vms if vm not in set(vms)]
        self._retry_cut()
        self.cluster.scheduler.after(IN_TRANSIT_S, self._retry_cut)

    def asks_between(
        self, start: float, end: float
    ) -> list[tuple[QueryStream, Ask]]:
        """Return the requests sent between two times."""
        return [each for each in self.asks if start <= each[1].asked < end]

    def _retry_cut(self) -> None:
        for index, (stream, ask) in enumerate(self.asks):
            if ask.cut and not ask.answered:
                self.asks[index] = (stream, self._retry(ask))

    def _retry(self, ask: Ask) -> Ask:
        vm = self.rng.choice(self.vms)
        retry = self.cluster.ask(vm, 'query', ask.body)
        retry.asked = ask.asked
        return retry

    def _schedule_next(self, stream: QueryStream) -> None:
        wait = self.rng.expovariate(stream.rate)
        if self.cluster.now + wait < self._until:
            self.cluster.scheduler.after(wait, self._ask, stream)

    def _ask(self, stream: QueryStream) -> None:
        body = {
            'service': stream.service,
            'query': 'text',
            'class': stream.query_class,
        }
        ask = self.cluster.ask(self.rng.choice(self.vms), 'query', body)
        self.asks.append((stream, ask))
        self._schedule_next(stream)


def served(stream: QueryStream, ask: Ask) -> bool:
    """Return whether a request got a full answer within its deadline."""
    in_time = ask.answered - ask.asked <= stream.deadline
    return ask.status == HTTP_OK and in_time and _is_not_degraded(ask)


def _is_not_degraded(ask: Ask) -> bool:
    return bool(ask.answer['outcome'] != 'degraded')


def windows(
    asks: list[tuple[QueryStream, Ask]],
    start: float,
    end: float,
) -> Iterator[LoadWindow]:
    """Yield the statistics of the requests of each second."""
    at = start
    while at + 1 <= end:
        within = [each for each in asks if at <= each[1].asked < at + 1]
        if within:
            yield _window(at, within)
        at += 1


def _window(at: float, asks: list[tuple[QueryStream, Ask]]) -> LoadWindow:
    served_count = sum(served(*each) for each in asks)
    latencies = [ask.answered - ask.asked for _, ask in asks if ask.answered]
    return LoadWindow(
        round(at, 3),
        len(asks),
        served_count / len(asks),
        round(quantile(latencies, 0.99) * MS_PER_S, 1),
    )


def quantile(samples: Iterable[float], share: float) -> float:
    """Return the quantile of samples, or 0 without samples."""
    ranked = sorted(samples)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]

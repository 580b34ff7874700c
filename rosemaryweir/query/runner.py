"""Run queries: scatter, partials, hedges, retries, change of the pin."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from random import Random

from rosemaryweir.node.state import NodeState
from rosemaryweir.query.attempt import Attempt, Attempts
from rosemaryweir.query.hedge_timing import (
    first_look,
    late_pieces,
    next_look,
    quicker,
)
from rosemaryweir.query.observed_target import VersionKey
from rosemaryweir.query.plan import Fleet, Plan
from rosemaryweir.query.repin import better_version
from rosemaryweir.query.replica import Replica, choose, choose_other
from rosemaryweir.query.retry import RETRY_RATE, backoff, elsewhere, worth_it
from rosemaryweir.query.running_query import NEVER, Running, Wanted
from rosemaryweir.schema.generated.query import Partial

__all__ = ['Runner']

#: A lost attempt counts as this multiple of the usual latency.
LOST_FOLD = 3
#: Part of a retry's token that comes back if no target ran it, and that is
#: given for a first attempt refused while no request waits at admission.
REFUND = 0.8
#: Outcomes that say that a target lacks capacity.
REFUSED = frozenset(('shed', 'timeout'))
#: Outcomes that say that a leaf may not use a target now.
CLOSED = frozenset(('out', 'not_owner'))

Pick = Callable[
    [Sequence[Replica], VersionKey, Random, float],
    Replica | None,
]


class Runner:
    """Takes running queries through their events.

    Parameters
    ----------
    state : NodeState
        Configuration, views and lease in force.
    fleet : Fleet
        What is known of targets and leaves.
    attempts : Attempts
        Attempts in flight.
    rng : random.Random
        The source of chance.

    Attributes
    ----------
    choose_first : callable
        Chooses the replica of a first attempt.
    first_attempts, extra_attempts : int
        First attempts, and those beyond.
    not_run : Counter
        Attempts that no target ran, by outcome.
    """

    def __init__(
        self,
        state: NodeState,
        fleet: Fleet,
        attempts: Attempts,
        rng: Random,
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.attempts = attempts
        self.rng = rng
        self.choose_first: Pick = choose
        self.first_attempts = 0
        self.extra_attempts = 0
        self.not_run: Counter[str] = Counter()

    def start(self, query: Running, now: float) -> None:
        """Pin the query and send a piece for each of its shards."""
        pin = query.service_state.pin(query.scatter.layout)
        query.version = pin.choose(query.plan.sights, now)
        replicas = query.plan.replicas
        key = query.key
        for shard, wanted in query.wanted.items():
            replica = self.choose_first(replicas[shard], key, self.rng, now)
            if replica is None or replica.sight.shut(now):
                self._postpone(wanted, now)
            else:
                self._send(query, wanted, replica, now)
        count = len(query.wanted)
        self.first_attempts += count
        query.hedging.budget.earn(count)
        query.hedge_at = first_look(query, now)

    def take(
        self,
        query: Running,
        attempt: Attempt,
        piece: Partial,
        now: float,
    ) -> None:
        """Take the partial that answers an attempt."""
        wanted = query.wanted.get(attempt.shard)
        if wanted is not None:
            wanted.open.remove(attempt)
        if piece['ran'] == 'no':
            self.not_run[piece['outcome']] += 1
        else:
            query.ran = True
        if piece['outcome'] == 'ok':
            self._served(query, attempt, piece, now)
        else:
            self._refused(query, attempt, piece, now)
            self.again(query, attempt, now)

    def again(self, query: Running, attempt: Attempt, now: float) -> None:
        """Try a shard again after an attempt that did not cover it."""
        wanted = query.wanted.get(attempt.shard)
        if wanted is not None and not wanted.open:
            self._retry(query, wanted, now)

    def lost(self, query: Running, attempt: Attempt, now: float) -> None:
        """Take that the leaf of an attempt has lost it."""
        wanted = query.wanted.get(attempt.shard)
        if wanted is not None:
            wanted.open.remove(attempt)
            self.again(query, attempt, now)

    def doubt(self, query: Running, attempt: Attempt, now: float) -> None:
        """Ask another replica beside an attempt whose leaf is silent."""
        wanted = query.wanted.get(attempt.shard)
        if wanted is not None and wanted.open == [attempt]:
            self._retry(query, wanted, now)

    def step(self, query: Running, now: float) -> None:
        """Do what is due: hedges and retries."""
        if now >= query.hedge_at:
            self._hedge(query, now)
        for wanted in tuple(query.wanted.values()):
            if wanted.retry_at <= now and wanted.shard in query.wanted:
                wanted.retry_at = NEVER
                self._retry(query, wanted, now)

    def finish(self, query: Running, now: float) -> None:
        """Cancel what is still in flight."""
        for wanted in query.wanted.values():
            self._cancel(query, wanted, now)

    def _served(
        self,
        query: Running,
        attempt: Attempt,
        piece: Partial,
        now: float,
    ) -> None:
        version = piece['version']
        key = (piece['layout'], version)
        sight = attempt.replica.sight
        took = now - attempt.sent
        sight.took(took, query.hedging.delay(now), now)
        query.hedging.took(took, now)
        query.service_state.retry_budget.earn()
        if sight.serves(key):
            query.service_state.pin(query.scatter.layout).stale = True
        query.merge.add(attempt.shard, *key, piece['rows'])
        if not query.version:
            self._learn(query, attempt.shard, now)
        elif version == query.version and key[0] == query.scatter.layout:
            self._covered(query, attempt.shard, now)
        else:
            self.again(query, attempt, now)

    def _covered(self, query: Running, shard: str, now: float) -> None:
        wanted = query.cover(shard, now)
        if wanted is not None and wanted.open:
            self._cancel(query, wanted, now)

    def _refused(
        self,
        query: Running,
        attempt: Attempt,
        piece: Partial,
        now: float,
    ) -> None:
        outcome = piece['outcome']
        sight = attempt.replica.sight
        if outcome == 'wrong_version':
            asked = (query.scatter.layout, attempt.version)
            sight.refuses(asked, (piece['layout'], piece['version']), now)
            query.service_state.pin(query.scatter.layout).stale = True
        elif outcome in CLOSED:
            sight.closes(now)
        elif elsewhere(outcome):
            took = now - attempt.sent
            slow = query.hedging.delay(now)
            sight.took(max(took, LOST_FOLD * sight.latency), slow, now)
        if outcome in REFUSED:
            query.refused += 1
        pressed = query.service_state.admission.pressed
        if piece['ran'] == 'no' and (attempt.extra or not pressed):
            query.service_state.retry_budget.refund(REFUND)

    def _learn(self, query: Running, shard: str, now: float) -> None:
        """Pin a query once each of its shards has answered."""
        query.unheard.discard(shard)
        if not query.unheard:
            self._settle(query, now)

    def _settle(self, query: Running, now: float) -> None:
        """Pin a query that was not, at the version that covers most."""
        pin = query.service_state.pin(query.scatter.layout)
        seen = query.merge.best(0)
        self._change(query, pin.best(query.plan.sights) or seen, now)

    def _change(self, query: Running, version: int, now: float) -> None:
        if query.version:
            for wanted in query.wanted.values():
                self._cancel(query, wanted, now)
        query.repin(version)
        for shard in query.plan.shards:
            if query.merge.has(shard, version):
                self._covered(query, shard, now)
        for wanted in tuple(query.wanted.values()):
            if not wanted.open:
                self._retry(query, wanted, now)

    def _retry(self, query: Running, wanted: Wanted, now: float) -> None:
        if query.waits(wanted.shard):
            return
        query.service_state.retry_budget.trickle(RETRY_RATE, now)
        replica = None
        if self.state.may_start(now):
            replica = self._other(query, wanted, wanted.tried, now)
        if replica is None and self._better(query, now):
            return
        if (
            replica is None
            or replica.sight.shut(now)
            or not worth_it(replica.sight.weight > 1, wanted.rounds)
            or not (
                wanted.attempts == 0 or query.service_state.retry_budget.spend()
            )
        ):
            self._postpone(wanted, now)
        else:
            self.extra_attempts += wanted.attempts > 0
            self._send(query, wanted, replica, now)

    def _better(self, query: Running, now: float) -> bool:
        """Change the pin, once, to a version that covers more."""
        version = better_version(query, now)
        if not version:
            return False
        query.repinned = True
        self._change(query, version, now)
        return True

    def _other(
        self,
        query: Running,
        wanted: Wanted,
        passed_over: Collection[Replica],
        now: float,
    ) -> Replica | None:
        replicas = self.plan(query).replicas[wanted.shard]
        return choose_other(replicas, query.key, passed_over, now)

    def plan(self, query: Running) -> Plan:
        """Return the plan of a query as it is now."""
        return self.fleet.plan(query.scatter.service, query.plan.service)

    def _postpone(self, wanted: Wanted, now: float) -> None:
        wanted.retry_at = now + backoff(wanted.rounds, self.rng)
        wanted.rounds += 1
        wanted.tried = [attempt.replica for attempt in wanted.open]

    def _hedge(self, query: Running, now: float) -> None:
        query.hedge_at = next_look(query, now)
        if not query.version and len(query.unheard) < len(query.plan.shards):
            self._settle(query, now)
        if not self.state.may_start(now):
            return
        for wanted in late_pieces(query, now):
            self._hedge_one(query, wanted, now)

    def _hedge_one(self, query: Running, wanted: Wanted, now: float) -> None:
        asked = [attempt.replica for attempt in wanted.open]
        replica = self._other(query, wanted, asked, now)
        if replica is None or not (
            wanted.on_trial or quicker(replica, wanted, query.key, now)
        ):
            return
        if query.service_state.admission.pressed and not replica.sight.has_room:
            return
        if query.hedging.budget.spend():
            self.extra_attempts += 1
            self._send(query, wanted, replica, now)

    def _send(
        self,
        query: Running,
        wanted: Wanted,
        replica: Replica,
        now: float,
    ) -> None:
        attempt = self.attempts.start(
            query.uid,
            wanted.shard,
            replica,
            query.version,
            now,
            wanted.attempts > 0,
        )
        wanted.begin(attempt)
        query.outbox.send(attempt)

    def _cancel(self, query: Running, wanted: Wanted, now: float) -> None:
        slow = query.hedging.delay(now)
        for attempt in wanted.open:
            query.ran = True
            self.attempts.settle(attempt)
            attempt.replica.sight.at_least(now - attempt.sent, slow, now)
            query.outbox.cancel(attempt)
        wanted.open.clear()

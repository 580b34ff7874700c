"""Checks of what callers are told: whole own answers, not run, at most once."""

from collections.abc import Iterator

from benchmarks.faults.checks import Violation, promise
from benchmarks.faults.world import World
from benchmarks.order_callers import Placed
from rosemaryweir.testing import Ask

__all__ = ['at_most_once', 'not_run', 'own_answer']

#: Work that is under way to a target when a stray reply comes arrives within
#: so long, in seconds.
UNDER_WAY_S = 0.1
NOT_RUN = 'not_run'


@promise('P5 whole own answer')
def own_answer(world: World) -> Iterator[Violation]:
    """Check that a reply belongs to the request that it answers.

    A connection with a stray reply carries no more work.
    """
    for ask in world.queries:
        rows = (ask.answer or {}).get('rows', ())
        strays = [
            row
            for row in rows
            if row['key'] != ask.body['query']
            or not row['text'].startswith(f'{row["shard"]}@')
        ]
        if strays:
            yield f'{ask.body["query"]} got {strays}'
    for order in world.callers.placed:
        replies = {said.reply for said in order.said if said.told == 'done'}
        if replies - {f'ran {order.order_key}'}:
            yield f'{order.order_key} got {sorted(replies)}'
    for reuse in world.seen.reuses:
        if reuse.when > reuse.strayed + UNDER_WAY_S:
            yield f'{reuse}'


@promise('P6 not run')
def not_run(world: World) -> Iterator[Violation]:
    """Check that what was denied has not run, nor does so later."""
    runs = _order_runs(world)
    for order in world.callers.placed:
        for ran in runs.get(order.order_key, ()):
            if _denied(order, ran):
                yield f'{order.order_key} ran at {ran:.2f}: {order.said}'
    for ask in world.queries:
        text = ask.body['query']
        if _says_not_run(ask) and text in world.seen.texts:
            yield f'{text} ran at {world.seen.texts[text]}: {ask.answer}'
    yield from _notes_denied(world)


@promise('P7 at most once')
def at_most_once(world: World) -> Iterator[Violation]:
    """Check that no order runs twice, and a done one ran."""
    runs = _order_runs(world)
    for order_key, when in runs.items():
        if len(when) > 1:
            yield f'{order_key} ran at {when}'
    for order in world.callers.placed:
        done = any(said.told == 'done' for said in order.said)
        if done and order.order_key not in runs:
            yield f'{order.order_key} done without a run'


def _order_runs(world: World) -> dict[str, list[float]]:
    runs: dict[str, list[float]] = {}
    for target in world.cluster.targets.values():
        for each in target.runs:
            if each.work == 'order':
                runs.setdefault(each.subject, []).append(each.when)
    return runs


def _denied(order: Placed, ran: float) -> bool:
    """Return whether a `not_run` denies a run.

    It does if the order had run by then, or ran later without a new try.
    """
    return any(
        said.ran == NOT_RUN
        and (
            ran <= said.when
            or not any(said.when <= asked <= ran for asked in order.asked)
        )
        for said in order.said
    )


def _says_not_run(ask: Ask) -> bool:
    return ask.answer is not None and ask.answer.get('ran') == NOT_RUN


def _notes_denied(world: World) -> Iterator[Violation]:
    """Look for notes in force although their operator was told otherwise."""
    for head in world.accepted():
        tries = [ask for ask in world.notes if ask.body['note'] == head.note]
        for ask in tries:
            anew = any(
                ask.answered <= other.asked <= head.when for other in tries
            )
            if _says_not_run(ask) and not anew:
                yield f'{head} in force: {ask.answer}'

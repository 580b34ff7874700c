"""Checks of the answers that callers get: P5, P6 and P7."""

from collections.abc import Iterator

from benchmarks.faults.checks import Violation, promise
from benchmarks.faults.scenario import FaultScenario
from benchmarks.order_callers import PlacedOrder
from rosemaryweir.testing import Ask

__all__ = ['check_at_most_once', 'check_not_run', 'check_own_answer']

#: Time within which work that was already sent when a stray reply came
#: reaches the target.
IN_TRANSIT_S = 0.1
NOT_RUN = 'not_run'


@promise('P5 whole own answer')
def check_own_answer(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that each caller gets the reply to its own request.

    No work is sent on a connection after a stray reply on it.
    """
    for ask in scenario.queries:
        rows = (ask.answer or {}).get('rows', ())
        strays = [
            row
            for row in rows
            if row['key'] != ask.body['query']
            or not row['text'].startswith(f'{row["shard"]}@')
        ]
        if strays:
            yield f'{ask.body["query"]} got {strays}'
    for order in scenario.callers.orders:
        replies = {
            given.reply for given in order.answers if given.outcome == 'done'
        }
        if replies - {f'ran {order.order_key}'}:
            yield f'{order.order_key} got {sorted(replies)}'
    for reuse in scenario.observer.reuses:
        if reuse.when > reuse.stray_at + IN_TRANSIT_S:
            yield f'{reuse}'


@promise('P6 not run')
def check_not_run(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that a request answered with `not_run` never runs."""
    runs = _order_runs(scenario)
    for order in scenario.callers.orders:
        for ran in runs.get(order.order_key, ()):
            if _denied(order, ran):
                yield f'{order.order_key} ran at {ran:.2f}: {order.answers}'
    for ask in scenario.queries:
        text = ask.body['query']
        if _answered_not_run(ask) and text in scenario.observer.query_runs:
            yield (
                f'{text} ran at {scenario.observer.query_runs[text]}: '
                f'{ask.answer}'
            )
    yield from _denied_notes_in_force(scenario)


@promise('P7 at most once')
def check_at_most_once(scenario: FaultScenario) -> Iterator[Violation]:
    """Check that no order runs twice and that each done order ran."""
    runs = _order_runs(scenario)
    for order_key, when in runs.items():
        if len(when) > 1:
            yield f'{order_key} ran at {when}'
    for order in scenario.callers.orders:
        done = any(given.outcome == 'done' for given in order.answers)
        if done and order.order_key not in runs:
            yield f'{order.order_key} done without a run'


def _order_runs(scenario: FaultScenario) -> dict[str, list[float]]:
    runs: dict[str, list[float]] = {}
    for target in scenario.cluster.targets.values():
        for each in target.runs:
            if each.work == 'order':
                runs.setdefault(each.subject, []).append(each.when)
    return runs


def _denied(order: PlacedOrder, ran: float) -> bool:
    """Return whether a `not_run` answer contradicts a run of the order.

    It does if the order ran before the answer, or after it without another
    try of the caller in between.
    """
    return any(
        given.ran == NOT_RUN
        and (
            ran <= given.when
            or not any(given.when <= asked <= ran for asked in order.try_times)
        )
        for given in order.answers
    )


def _answered_not_run(ask: Ask) -> bool:
    return ask.answer is not None and ask.answer.get('ran') == NOT_RUN


def _denied_notes_in_force(scenario: FaultScenario) -> Iterator[Violation]:
    """Yield the notes in force whose operator was answered `not_run`."""
    for head in scenario.accepted_notes():
        tries = [ask for ask in scenario.notes if ask.body['note'] == head.note]
        for ask in tries:
            retried = any(
                ask.answered <= other.asked <= head.when for other in tries
            )
            if _answered_not_run(ask) and not retried:
                yield f'{head} in force: {ask.answer}'

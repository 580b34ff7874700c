"""The promises as checks of what the fakes saw.

Each check takes a `World` and returns what broke the promise.
"""

from collections.abc import Iterator

from benchmarks.faults import outcomes, shutdown
from benchmarks.faults.checks import Check, Violation, promise, registered
from benchmarks.faults.sightings import Frame
from benchmarks.faults.world import World
from rosemaryweir.testing import Ask

__all__ = ['MODULES', 'broken', 'promises']

#: Times that the promises name, in seconds.
OUT_S = 3.0
LEAVING_S = 3.0
FORCE_S = 10.0
#: Answers of a target that turned cold unseen: the first is the sign, one
#: more may be under way.
SIGNS = 2

#: Modules that register checks.
MODULES = (outcomes, shutdown)


def promises() -> dict[str, Check]:
    """Return the checks by promise."""
    return registered()


def broken(world: World) -> list[str]:
    """Return every violation of every promise."""
    return [
        f'{name}: {violation}'
        for name, check in promises().items()
        for violation in check(world)
    ]


def _answers(world: World) -> Iterator[Ask]:
    for ask in world.queries:
        if ask.answer is not None and 'coverage' in ask.answer:
            yield ask


@promise('P1 snapshot')
def one_snapshot(world: World) -> Iterator[Violation]:
    """Check that each row is of the snapshot that the answer names."""
    for ask in _answers(world):
        snapshot = ask.answer['snapshot']
        wanted = f'@{snapshot["layout"]}.{snapshot["version"]}'
        strays = [
            row['text']
            for row in ask.answer['rows']
            if not row['text'].endswith(wanted)
        ]
        if strays:
            yield f'{strays} in an answer of {wanted}'


@promise('P2 coverage')
def true_coverage(world: World) -> Iterator[Violation]:
    """Check that each shard counts once, covered or missing."""
    for ask in _answers(world):
        coverage = ask.answer['coverage']
        shards = [row['shard'] for row in ask.answer['rows']]
        listed = len(shards) + len(coverage['missing'])
        if len(set(shards)) != len(shards) or listed != coverage['total']:
            yield f'{coverage} for rows of {shards}'
        elif coverage['covered'] != len(shards):
            yield f'{coverage} for {len(shards)} shards'


@promise('P3 cold start')
def cold_limit(world: World) -> Iterator[Violation]:
    """Check that no cold target gets more than it bears."""
    for each in world.seen.received:
        if each.overload and each.signs > SIGNS:
            signs = f'{each.signs} signs'
            yield f'{each.target} overrun at {each.when:.2f}, {signs}'


@promise('P4 failure domain out')
def domain_out(world: World) -> Iterator[Violation]:
    """Check that a withdrawn failure domain gets no work after 3 s."""
    spans = list(_spans_out(world))
    targets = world.cluster.config['targets']
    for each in world.seen.received:
        domain = targets[each.target]['domain']
        if any(
            name == domain and begin + OUT_S < each.when < end
            for name, begin, end in spans
        ):
            yield f'{each.work} at {each.target} at {each.when:.2f}'


@promise('P8 leaving target')
def leaving_target(world: World) -> Iterator[Violation]:
    """Check that a draining target gets no new work after 3 s."""
    for each in world.seen.received:
        if each.when - each.drained > LEAVING_S:
            yield f'{each.work} at {each.target} at {each.when:.2f}'


@promise('P10 configuration')
def configuration(world: World) -> Iterator[Violation]:
    """Check that what is accepted is durable, in force in 10 s, kept."""
    heads = world.accepted()
    durable = {head.note for head in heads}
    for ask in world.notes:
        if ask.status == 200 and ask.answer['note'] not in durable:
            yield f'{ask.answer["note"]} accepted, not durable'
    generations = [head.generation for head in heads]
    if generations != sorted(set(generations)):
        yield f'generations {generations}'
    yield from _reversions(world.seen.frames)
    for head in heads:
        for frame in world.seen.frames:
            late = frame.when > head.when + FORCE_S
            if late and frame.generation < head.generation:
                yield f'{frame} after {head}'
                break


def _reversions(frames: list[Frame]) -> Iterator[Violation]:
    newest: dict[tuple[str, int], int] = {}
    for frame in frames:
        sender = (frame.sender, frame.incarnation)
        if frame.generation < newest.get(sender, 0):
            yield f'{frame} after {newest[sender]}'
        newest[sender] = frame.generation


def _spans_out(world: World) -> Iterator[tuple[str, float, float]]:
    began: dict[str, float] = {}
    for head in world.accepted():
        domain, state = world.domain_notes.get(head.note, ('', ''))
        if state == 'out':
            began[domain] = head.when
        elif state == 'in' and domain in began:
            yield domain, began.pop(domain), head.when
    for left, begin in began.items():
        yield left, begin, float('inf')

"""Write release notes to the head of the configuration in the store.

`NoteWriter` processes one note: it reads the head, checks the note, has the
withdrawn domains announced, writes the content, and updates the head if its
version is unchanged.  After a lost reply the same update is sent again: of two
updates with one expected version only one takes effect, and the note's
identifier in the head shows which.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure

from rosemaryweir.config.chunk_assembly import ConfigUpdate
from rosemaryweir.config.content import encode_config
from rosemaryweir.config.delta import HashedConfig, hash_config
from rosemaryweir.config.delta_chain import make_bounded_delta
from rosemaryweir.config.note import (
    apply,
    check,
    plan,
    touched_paths,
    withdrawn_domains,
)
from rosemaryweir.config.upload import Upload
from rosemaryweir.exception import Finding
from rosemaryweir.node.action import Action, StoreGet, StorePut
from rosemaryweir.node.event import StoreFailed, StoreObject, StoreReply
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.control import Applied, Head

__all__ = [
    'HEAD_KEY',
    'MAX_RECENT_NOTES',
    'NoteOutcome',
    'NoteWriter',
    'decode_head',
    'empty_head',
]

HEAD_KEY = 'config/head'

#: Maximum number of recent notes listed in the head.
MAX_RECENT_NOTES = 32

#: Maximum number of changed paths listed in the head for each note.
MAX_TOUCHED_PATHS = 4

#: Delay before a failed call is repeated, in seconds.
RETRY_DELAY_S = 0.2

#: Time without the store after which a note fails, in seconds.  A note whose
#: update of the head may have taken effect is retried for longer.
ANSWER_TIMEOUT_S = 8.0


class NoteOutcome(NamedTuple):
    """Result of a note.

    ``state`` is ``accepted``, ``already``, ``malformed``, ``conflict``,
    ``store_down`` or ``isolated`` (nothing was written) or ``unknown``.
    """

    state: str
    generation: int = 0
    detail: str = ''
    findings: tuple[Finding, ...] = ()
    plan: tuple[str, ...] = ()


class StoredHead(NamedTuple):
    """The head as read from the store, with its version."""

    version: int
    head: Head


def empty_head() -> Head:
    """Return the head before the first note."""
    return Head(generation=0, note='', digest='', chunks=[], recent=[])


def decode_head(obj: StoreObject) -> Head:
    """Return the head that a store object holds.

    Raises
    ------
    msgspec.ValidationError
        If its content is not a valid head.
    """
    if not obj.version:
        return empty_head()
    return msgspec.json.decode(obj.content, type=Head)


class NoteWriter:
    """State machine that writes one note, at the agent that received it.

    Attributes
    ----------
    step : str
        ``reading``, ``syncing`` (this agent lacks the generation in the head),
        ``announcing``, ``content``, ``writing`` or ``done``.
    outcome : Outcome or None
        Result of the note, once it is known.
    update : ConfigUpdate or None
        The configuration with the note applied, and its delta unless that is
        too large.
    withdrawn : list of str
        Failure domains that get no new work once the note is applied.
    """

    def __init__(
        self,
        note: Mapping[str, Any],
        topic: str,
        name: str,
        now: float,
    ) -> None:
        self.note: Any = note
        self.step = 'reading'
        self.outcome: NoteOutcome | None = None
        self.update: ConfigUpdate | None = None
        self.withdrawn: list[str] = []
        self._topic = topic
        self._attempt_name = name
        self._call_count = 0
        self._started = now
        self._retry_at: float | None = None
        self._call = ''
        self._stored_head = StoredHead(0, empty_head())
        self._upload: Upload | None = None
        self._write_unconfirmed = False
        self._plan: tuple[str, ...] = ()

    @property
    def expected_generation(self) -> int:
        """The generation that the note would create."""
        return self._stored_head.head['generation'] + 1

    def next_wake(self) -> float | None:
        """Return the time of the next retry."""
        return self._retry_at

    def begin(self) -> Iterator[Action]:
        """Start by reading the head."""
        self.step = 'reading'
        yield StoreGet(self._new_call(), HEAD_KEY)

    def wake(self, now: float) -> Iterator[Action]:
        """Repeat the call that failed."""
        if self._retry_at is None or now < self._retry_at:
            return
        self._retry_at = None
        if self.step == 'reading':
            yield from self.begin()
        elif self.step == 'content':
            yield from self._put_content()
        elif self.step == 'writing':
            yield self._put_head()

    def take_reply(
        self,
        event: StoreReply,
        config: Config,
    ) -> Iterator[Action]:
        """Handle the reply to the open call."""
        if event.call != self._call:
            return
        self._call = ''
        if self.step == 'reading':
            self._take_head(event)
            self.resume(config)
        elif self.step == 'content':
            self._current_upload.take_reply(event)
            yield from self._put_content()
        elif self.step == 'writing':
            self._take_write_reply(event)

    def take_failure(self, event: StoreFailed, now: float) -> bool:
        """Handle a failed call; return whether it belongs to this note."""
        if event.call != self._call:
            return False
        self._call = ''
        if self.step == 'writing' and event.reason == 'unknown':
            self._write_unconfirmed = True
        late = now >= self._started + ANSWER_TIMEOUT_S
        if late and not self._write_unconfirmed:
            self._finish(
                NoteOutcome('store_down', detail='the store does not respond'),
            )
        else:
            self._retry_at = now + RETRY_DELAY_S
        return True

    def resume(self, config: Config) -> None:
        """Check the note if this agent has the generation in the head."""
        head = self._stored_head.head
        known = _find_applied(head, self.note.get('note'))
        if known is not None:
            self._finish(NoteOutcome('already', known['generation']))
        elif config['generation'] < head['generation']:
            self.step = 'syncing'
        else:
            self._check(config)

    def write(self) -> Iterator[Action]:
        """Write the content once the withdrawal has been announced."""
        self.step = 'content'
        yield from self._put_content()

    def _take_head(self, event: StoreReply) -> None:
        found = event.objects[0] if event.objects else None
        head = empty_head() if found is None else decode_head(found)
        version = 0 if found is None else found.version
        self._stored_head = StoredHead(version, head)

    def _check(self, config: Config) -> None:
        head = self._stored_head.head
        base = self.note.get('base')
        if isinstance(base, int) and base < head['generation']:
            self._finish(
                NoteOutcome('conflict', detail=_describe_changes(head, base)),
            )
            return
        checked = check(self.note, config)
        if isinstance(checked, Failure):
            found = checked.failure()
            self._finish(NoteOutcome('malformed', findings=found))
            return
        self._plan = tuple(plan(self.note, config))
        after = hash_config(apply(self.note, config))
        self.withdrawn = withdrawn_domains(self.note)
        self._prepare(config, after)
        self.step = 'announcing'

    def _prepare(self, before: Config, after: HashedConfig) -> None:
        delta = make_bounded_delta(before, after)
        self.update = ConfigUpdate(after, () if delta is None else (delta,))
        self._upload = Upload(
            self.expected_generation,
            self._attempt_name,
            encode_config(after.config),
            delta,
        )

    @property
    def _current_upload(self) -> Upload:
        assert self._upload is not None
        return self._upload

    def _put_content(self) -> Iterator[Action]:
        put = self._current_upload.next_put(self._new_call())
        if put is not None:
            yield put
            return
        self.step = 'writing'
        yield self._put_head()

    def _put_head(self) -> StorePut:
        head = self._stored_head.head
        generation = self.expected_generation
        applied = Applied(
            generation=generation,
            note=self.note['note'],
            touched=touched_paths(self.note)[:MAX_TOUCHED_PATHS],
        )
        if self.update is not None and self.update.deltas:
            applied['digest'] = self.update.hashed.digest
        new = Head(
            generation=generation,
            note=self.note['note'],
            digest=self._current_upload.attempt['digest'],
            chunks=self._current_upload.chunks,
            recent=[applied, *head.get('recent', ())][:MAX_RECENT_NOTES],
        )
        return StorePut(
            self._new_call(),
            HEAD_KEY,
            self._stored_head.version,
            msgspec.json.encode(new),
        )

    def _take_write_reply(self, event: StoreReply) -> None:
        if event.status == 'ok':
            self._accept()
            return
        found = event.objects[0] if event.objects else None
        head = empty_head() if found is None else decode_head(found)
        known = _find_applied(head, self.note['note'])
        if known is None:
            base = self._stored_head.head['generation']
            self._finish(
                NoteOutcome('conflict', detail=_describe_changes(head, base)),
            )
        elif self._is_own_update(head, known):
            self._accept()
        else:
            self._finish(NoteOutcome('already', known['generation']))

    def _is_own_update(self, head: Head, known: Applied) -> bool:
        if known['generation'] != self.expected_generation:
            return False
        newest = head['generation'] == known['generation']
        return (
            not newest
            or head['digest'] == self._current_upload.attempt['digest']
        )

    def _accept(self) -> None:
        outcome = NoteOutcome(
            'accepted',
            self.expected_generation,
            plan=self._plan,
        )
        self._finish(outcome)

    def _finish(self, outcome: NoteOutcome) -> None:
        self.step = 'done'
        self._retry_at = None
        self.outcome = outcome

    def _new_call(self) -> str:
        self._call_count += 1
        self._call = f'{self._topic}:{self._call_count}'
        return self._call


def _find_applied(head: Head, note: Any) -> Applied | None:
    return next(
        (
            applied
            for applied in head.get('recent', ())
            if applied['note'] == note
        ),
        None,
    )


def _describe_changes(head: Head, base: int) -> str:
    since = [
        f'{applied["note"]} made generation {applied["generation"]} '
        f'({", ".join(applied["touched"])})'
        for applied in head.get('recent', ())
        if applied['generation'] > base
    ]
    return (
        f'generation {head["generation"]} is in force, the note is based on '
        f'{base}; since then: {"; ".join(since) or "not listed in the head"}'
    )

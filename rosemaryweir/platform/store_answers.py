"""Decode the store's answers, object by object where one can't be read.

Other programs write to the store, too.  An object whose content is no JSON that
this program can read must not hide the others of the same answer.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from rosemaryweir.catalog.table import ObjectVersion

__all__ = ['ListAnswer', 'WatchAnswer', 'decode_list', 'decode_watch']

_DECODER = msgspec.json.Decoder()
#: What decoding arbitrary bytes as JSON, or as an object, may raise.
_UNREADABLE = (
    msgspec.MsgspecError,
    RecursionError,
    LookupError,
    ValueError,
)
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
#: The next comma or run of brackets outside of strings.
_MARK = re.compile(
    rb'(?:[^"\[\]{},]++|"(?:[^"\\]++|\\.)*+")*+([\[\]{}]+|,)', re.DOTALL
)


class ListAnswer(NamedTuple):
    """One page of a list.

    Parameters
    ----------
    changes : list of ObjectVersion
        The objects; the content of one that can't be read is empty.
    revision : int
        Revision of the list.
    more : bool
        Whether another page follows.
    skipped : int
        Objects whose names can't be read.
    """

    changes: list[ObjectVersion]
    revision: int
    more: bool
    skipped: int = 0


class WatchAnswer(NamedTuple):
    """The changes that a watch reports.

    Parameters
    ----------
    changes : list of ObjectVersion
        The changes, oldest first; the content of an object that can't be read
        is empty.
    revision : int
        Every change up to this revision is reported.
    skipped : int
        Changes of objects whose names can't be read.
    """

    changes: list[ObjectVersion]
    revision: int
    skipped: int = 0


def decode_list(body: bytes) -> ListAnswer:
    """Return the page of a list in the body of an answer.

    Raises
    ------
    LookupError, TypeError, ValueError
        If the body is no list.

    Examples
    --------
    >>> spec = b'{"a": ' + b'[' * 9999 + b']' * 9999 + b'}'
    >>> item = b'{"meta": {"name": "x", "revision": 3}, "spec": %b}' % spec
    >>> decode_list(b'{"items": [%b], "as_of": 4, "has_more": false}' % item)[0]
    [ObjectVersion(name='x', revision=3, content={})]
    """
    content, items = _decode_answer(body, 'items', _decode_object)
    changes = [
        _to_version(item['meta'], item.get('spec'))
        for item in items
        if item is not None
    ]
    return ListAnswer(
        changes,
        int(content['as_of']),
        bool(content['has_more']),
        len(items) - len(changes),
    )


def decode_watch(body: bytes) -> WatchAnswer:
    """Return the changes in the body of a watch's answer.

    Raises
    ------
    LookupError, TypeError, ValueError
        If the body is no answer to a watch.
    """
    content, events = _decode_answer(body, 'events', _decode_event)
    revision = int(content['as_of'])
    changes = [
        _to_change(event, revision) for event in events if event is not None
    ]
    return WatchAnswer(changes, revision, len(events) - len(changes))


def _decode_answer(
    body: bytes, member: str, decode_item: Callable[[bytes], Any]
) -> tuple[Mapping[str, Any], list[Any]]:
    """Return the members of an answer and the items of one of them.

    An item that can't be read at all is None.
    """
    try:
        content = _DECODER.decode(body)
    except _UNREADABLE:
        content = _decode_by_item(body, member, decode_item)
    items = content[member]
    if not isinstance(items, list):
        raise TypeError(f'expected a list of {member}, got {items!r:.40}')
    return content, items


def _decode_by_item(
    body: bytes, member: str, decode_item: Callable[[bytes], Any]
) -> dict[str, Any]:
    try:
        members = _split_object(body)
        items = _split_array(members.pop(member, b'null'))
        content = {name: _DECODER.decode(raw) for name, raw in members.items()}
    except _UNREADABLE as exc:
        raise ValueError(f'unreadable answer: {exc!r}') from exc
    return {
        **content,
        member: [
            _try_decode(raw, _DECODER.decode) or _try_decode(raw, decode_item)
            for raw in items
        ],
    }


def _try_decode(raw: bytes, decode_item: Callable[[bytes], Any]) -> Any:
    try:
        return decode_item(raw)
    except _UNREADABLE:
        return None


def _decode_event(raw: bytes) -> dict[str, Any]:
    members = _split_object(raw)
    return {
        'object': _decode_object(members['object']),
        'deleted': _DECODER.decode(members['deleted']),
    }


def _decode_object(raw: bytes) -> dict[str, Any]:
    members = _split_object(raw)
    spec = members.get('spec', b'null')
    return {
        'meta': _DECODER.decode(members['meta']),
        'spec': _try_decode(spec, _DECODER.decode),
    }


def _to_version(meta: Mapping[str, Any], spec: Any) -> ObjectVersion:
    content = {} if spec is None else spec
    return ObjectVersion(str(meta['name']), int(meta['revision']), content)


def _to_change(event: Mapping[str, Any], revision: int) -> ObjectVersion:
    """Return the change that an event of a watch reports.

    The event of a removal has only the revision of the last state; at the
    revision of the answer the object no longer exists.
    """
    item = event['object']
    change = _to_version(item['meta'], item.get('spec'))
    if not event['deleted']:
        return change
    return ObjectVersion(change.name, max(change.revision, revision))


def _split_object(raw: bytes) -> dict[str, bytes]:
    """Return the undecoded members of a JSON object, by name."""
    found = {}
    for part in _split(raw, b'{', b'}'):
        name = _STRING.match(part.lstrip())
        if name is None:
            raise ValueError('expected a member of an object')
        _, colon, content = part.lstrip()[name.end() :].partition(b':')
        if not colon:
            raise ValueError('expected a colon after the name of a member')
        found[_DECODER.decode(name.group())] = content
    return found


def _split_array(raw: bytes) -> list[bytes]:
    """Return the undecoded items of a JSON array."""
    return list(_split(raw, b'[', b']'))


def _split(raw: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what commas separate between the outermost brackets.

    Does not call itself for nested brackets: their depth is the writer's.
    """
    text = raw.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f'expected {opening!r} and {closing!r}')
    depth = 0
    begin = 1
    for found in _MARK.finditer(text):
        mark = found[1]
        if mark != b',':
            depth += 2 * len(mark.translate(None, b']}')) - len(mark)
        elif depth == 1:
            yield text[begin : found.start(1)]
            begin = found.end()
    if depth:
        raise ValueError(f'{depth} brackets are not closed')
    if text[begin:-1].strip():
        yield text[begin:-1]

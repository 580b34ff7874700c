"""How the platform's object API writes objects: paths and JSON."""

import base64
import binascii
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import quote, unquote

import msgspec

from rosemaryweir.node.event import StoreObject
from rosemaryweir.schema.generated.platform import ObjectList, ObjectState

__all__ = [
    'OBJECTS_PATH',
    'VERSION_HEADER',
    'VMS_PATH',
    'WATCH_PATH',
    'Listing',
    'build_object_list',
    'build_object_state',
    'key_from_path',
    'object_path',
    'parse_object_list',
    'watch_path',
]

OBJECTS_PATH = '/v1/objects'
WATCH_PATH = '/v1/watch'
VMS_PATH = '/v1/vms'
VERSION_HEADER = 'x-version'
_LISTS = msgspec.json.Decoder(ObjectList)


class Listing(NamedTuple):
    """Objects and the revision that they reflect."""

    revision: int
    objects: tuple[StoreObject, ...]


def object_path(key: str) -> str:
    """Return the path of an object.

    Examples
    --------
    >>> object_path('views/a b')
    '/v1/objects/views/a%20b'
    """
    return f'{OBJECTS_PATH}/{quote(key)}'


def key_from_path(path: str) -> str:
    """Return the key that a path names; empty when it names none.

    Examples
    --------
    >>> key_from_path('/v1/objects/views/a%20b')
    'views/a b'
    """
    return unquote(path.removeprefix(OBJECTS_PATH).removeprefix('/'))


def watch_path(prefix: str, revision: int) -> str:
    """Return the path of a watch on a prefix after a revision."""
    return f'{WATCH_PATH}?prefix={quote(prefix)}&revision={revision}'


def build_object_state(item: StoreObject) -> ObjectState:
    """Return the record that stands for an object."""
    return ObjectState(
        key=item.key,
        version=item.version,
        content=base64.b64encode(item.content).decode(),
    )


def build_object_list(
    revision: int, items: Iterable[StoreObject]
) -> ObjectList:
    """Return the record that stands for objects at a revision."""
    return ObjectList(
        revision=revision,
        objects=[build_object_state(item) for item in items],
    )


def parse_object_list(text: bytes) -> Listing:
    """Read what `build_object_list` wrote.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    try:
        content = _LISTS.decode(text)
    except msgspec.MsgspecError as exc:
        raise ValueError(f'not a list of objects: {exc}') from exc
    items = tuple(_store_object(state) for state in content['objects'])
    return Listing(content['revision'], items)


def _store_object(state: ObjectState) -> StoreObject:
    try:
        content = base64.b64decode(state['content'], validate=True)
    except binascii.Error as exc:
        raise ValueError('not base64') from exc
    return StoreObject(state['key'], state['version'], content)

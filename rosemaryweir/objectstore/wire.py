"""Paths and JSON records of the platform's object API."""

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
    'ObjectListing',
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
_LIST_DECODER = msgspec.json.Decoder(ObjectList)


class ObjectListing(NamedTuple):
    """Objects and the store revision at which they were read."""

    revision: int
    objects: tuple[StoreObject, ...]


def object_path(key: str) -> str:
    """Return the URL path of the object with a key.

    Examples
    --------
    >>> object_path('views/a b')
    '/v1/objects/views/a%20b'
    """
    return f'{OBJECTS_PATH}/{quote(key)}'


def key_from_path(path: str) -> str:
    """Return the key in the URL path of an object; empty if there is none.

    Examples
    --------
    >>> key_from_path('/v1/objects/views/a%20b')
    'views/a b'
    """
    return unquote(path.removeprefix(OBJECTS_PATH).removeprefix('/'))


def watch_path(prefix: str, revision: int) -> str:
    """Return the URL path of a watch on a key prefix after a revision."""
    return f'{WATCH_PATH}?prefix={quote(prefix)}&revision={revision}'


def build_object_state(item: StoreObject) -> ObjectState:
    """Return the JSON record of an object."""
    return ObjectState(
        key=item.key,
        version=item.version,
        content=base64.b64encode(item.content).decode(),
    )


def build_object_list(
    revision: int, items: Iterable[StoreObject]
) -> ObjectList:
    """Return the JSON record of objects at a revision."""
    return ObjectList(
        revision=revision,
        objects=[build_object_state(item) for item in items],
    )


def parse_object_list(text: bytes) -> ObjectListing:
    """Decode the JSON encoding of a record made by `build_object_list`.

    Raises
    ------
    ValueError
        If the text is not valid JSON of an object list.
    """
    try:
        content = _LIST_DECODER.decode(text)
    except msgspec.MsgspecError as exc:
        raise ValueError(f'not a list of objects: {exc}') from exc
    items = tuple(_parse_object_state(state) for state in content['objects'])
    return ObjectListing(content['revision'], items)


def _parse_object_state(state: ObjectState) -> StoreObject:
    try:
        content = base64.b64decode(state['content'], validate=True)
    except binascii.Error as exc:
        raise ValueError('object content is not base64') from exc
    return StoreObject(state['key'], state['version'], content)

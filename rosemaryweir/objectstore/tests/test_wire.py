"""Tests of the encoding of objects and their paths."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryweir.node.event import StoreObject
from rosemaryweir.objectstore.wire import (
    build_object_list,
    key_from_path,
    object_path,
    parse_object_list,
)
from rosemaryweir.transport.exchange import encode_json

ITEMS = st.builds(
    StoreObject,
    st.text(min_size=1, max_size=8),
    st.integers(0, 2**40),
    st.binary(max_size=20),
)


@settings(derandomize=True)
@given(st.integers(0, 2**40), st.lists(ITEMS, max_size=4))
def test_object_list_round_trip(revision, items):
    listing = parse_object_list(encode_json(build_object_list(revision, items)))
    assert (listing.revision, listing.objects) == (revision, tuple(items))


@settings(derandomize=True)
@given(st.text(st.characters(codec='utf-8'), min_size=1, max_size=12))
def test_any_key_has_an_ascii_path(key):
    path = object_path(key)
    assert path.isascii()
    if not key.startswith('/'):
        assert key_from_path(path) == key


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'[]',
        b'{"revision": 1}',
        b'{"revision": "1", "objects": []}',
        b'{"revision": 1, "objects": [{"key": "k", "version": 1}]}',
        b'{"revision": 1, "objects": '
        b'[{"key": "k", "version": 1, "content": "?"}]}',
        b'\xff',
    ],
)
def test_invalid_object_lists_are_rejected(text):
    with pytest.raises(ValueError):
        parse_object_list(text)

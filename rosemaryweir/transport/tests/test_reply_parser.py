"""Tests of parsing replies that arrive in one or several reads."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.transport.http_client import encode_request_head
from rosemaryweir.transport.reply_parser import MalformedReply, ReplyParser

LENGTH = b'HTTP/1.1 200 OK\r\nX-A: one \r\nContent-Length: 5\r\n\r\nseven'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nse\r\n3\r\nven\r\n0\r\nX-Late: 1\r\n\r\n'
)
UNTIL_END = b'HTTP/1.1 200 OK\r\nX-A: one\r\n\r\nseven'
CONTINUED = b'HTTP/1.1 100 Continue\r\nX-B: no\r\n\r\n' + LENGTH


def feed_split(parser, data, cuts=()):
    """Feed bytes split at the given positions; return the reply or None."""
    bounds = [0, *sorted(cuts), len(data)]
    reply = None
    for start, end in zip(bounds, bounds[1:], strict=False):
        if end > start and reply is None:
            reply = parser.feed(data[start:end])
    return reply


def make_parser(method='GET'):
    parser = ReplyParser()
    parser.expect(method)
    return parser


@given(
    st.sampled_from([LENGTH, CHUNKED, CONTINUED]),
    st.lists(st.integers(1, 60), max_size=6),
)
def test_reply_does_not_depend_on_how_its_bytes_are_split(data, cuts):
    parser = make_parser()
    for _ in range(2):
        reply = feed_split(
            parser, data, [cut for cut in cuts if cut < len(data)]
        )
        assert (reply.status, reply.body) == (200, b'seven')
        assert 'x-late' not in reply.headers
        assert 'x-b' not in reply.headers
        assert parser.reusable
        parser.expect('GET')


def test_header_names_are_in_lower_case_and_values_are_stripped():
    reply = feed_split(make_parser(), LENGTH)
    assert reply.headers == {'x-a': 'one', 'content-length': '5'}
    assert list(reply.raw_headers)[0] == (b'x-a', b'one')


@given(st.integers(0, len(UNTIL_END)))
def test_reply_without_length_is_complete_at_the_end_of_input(cut):
    parser = make_parser()
    head = UNTIL_END.index(b'\r\n\r\n') + 4
    assert feed_split(parser, UNTIL_END[:cut]) is None
    reply = parser.end()
    if cut < head:
        assert reply is None
    else:
        assert reply.body == UNTIL_END[head:cut]
    assert not parser.reusable


@given(st.sampled_from([LENGTH, CHUNKED]), st.data())
def test_truncated_reply_is_not_returned(data, draw):
    parser = make_parser()
    cut = draw.draw(st.integers(0, len(data) - 1))
    assert feed_split(parser, data[:cut]) is None
    assert parser.end() is None


@pytest.mark.parametrize('extra', [LENGTH, b'x', b'HTTP/1.1 200'])
def test_bytes_after_a_reply_are_unsolicited(extra):
    parser = make_parser()
    reply = parser.feed(LENGTH + extra)
    assert reply.body == b'seven'
    assert parser.unsolicited
    assert not parser.reusable


@pytest.mark.parametrize(
    'data',
    [
        b'nonsense\r\n\r\n',
        b'HTTP/1.1 abc\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nbad name: 1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-A: ' + b'a' * 70_000,
    ],
)
def test_malformed_reply_raises(data):
    parser = make_parser()
    with pytest.raises(MalformedReply):
        parser.feed(data)


def test_reply_to_head_has_no_body():
    parser = make_parser('HEAD')
    reply = parser.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n')
    assert (reply.status, reply.body) == (200, b'')
    assert not parser.reusable


def test_connection_close_header_makes_the_connection_unusable():
    parser = make_parser()
    reply = parser.feed(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
    )
    assert reply.status == 200
    assert not parser.reusable


def test_request_head_is_encoded_as_given():
    head = encode_request_head('POST', '/a?b=c', [(b'x-a', b'1'), ('x-b', '2')])
    assert head == b'POST /a?b=c HTTP/1.1\r\nx-a: 1\r\nx-b: 2\r\n'

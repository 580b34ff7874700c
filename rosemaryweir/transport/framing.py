"""Checks of the framing of HTTP requests that h11 leaves to its user.

Two readers of the same bytes must not disagree on where a request ends, or a
request can be hidden in another one (RFC 9112, sections 2.2, 5.2 and 6.1).
"""

import re

import h11

__all__ = [
    'find_framing_defect',
    'find_head_defect',
    'parse_count',
    'parse_decimal',
]

#: End of the lines of a head, as h11 finds it.
_END_OF_HEAD = re.compile(rb'\n\r?\n')
_BARE_LF = re.compile(rb'(?<!\r)\n')
_FOLDED_LINE = re.compile(rb'\n[ \t]')
_CONTROL = re.compile(rb'[^\t\r\n -~\x80-\xff]|\r(?!\n)')
_COUNT = re.compile('[0-9]{1,15}')
_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,9})?')


def find_head_defect(received: bytes) -> str:
    r"""Return what is wrong with the lines of a head; empty if nothing is.

    Parameters
    ----------
    received : bytes
        Bytes received from the start of the head on; a head that is not yet
        complete has no defect.

    Examples
    --------
    >>> find_head_defect(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    ''
    >>> find_head_defect(b'GET / HTTP/1.1\nHost: x\r\n\r\n')
    'a line of the head ends without a carriage return'
    """
    end = _END_OF_HEAD.search(received)
    if end is None:
        return ''
    head = received[: end.end()]
    if _BARE_LF.search(head):
        return 'a line of the head ends without a carriage return'
    if _FOLDED_LINE.search(head):
        return 'a header is continued on another line'
    if _CONTROL.search(head):
        return 'the head holds a control character'
    return ''


def find_framing_defect(request: h11.Request) -> str:
    """Return why the length of a request's body is ambiguous; empty if not.

    Examples
    --------
    >>> headers = [('host', 'x'), ('content-length', '3')]
    >>> both = [*headers, ('transfer-encoding', 'chunked')]
    >>> request = h11.Request(method='PUT', target='/', headers=both)
    >>> find_framing_defect(request)
    'both content-length and transfer-encoding are present'
    """
    names = {name for name, _ in request.headers}
    if b'transfer-encoding' not in names:
        return ''
    if b'content-length' in names:
        return 'both content-length and transfer-encoding are present'
    if request.http_version < b'1.1':
        version = request.http_version.decode()
        return f'transfer-encoding is not part of HTTP/{version}'
    return ''


def parse_count(text: str) -> int | None:
    """Return a non-negative whole number in ASCII digits; None for any other.

    `str.isdigit` also accepts digits that `int` rejects, and `int` rejects
    thousands of digits.

    Examples
    --------
    >>> parse_count('250'), parse_count('-1'), parse_count('²')
    (250, None, None)
    """
    return int(text) if _COUNT.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a non-negative decimal number; None for any other text.

    Examples
    --------
    >>> parse_decimal('2.5'), parse_decimal('-5'), parse_decimal('1e999')
    (2.5, None, None)
    """
    return float(text) if _DECIMAL.fullmatch(text) else None

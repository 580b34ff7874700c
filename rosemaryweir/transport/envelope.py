"""Envelopes of the messages between processes: msgpack by msgspec.

An envelope tells who sends, its incarnation, when it was sent on the clock
of the sender, and for how long the message is worth anything.
"""

from collections.abc import Iterator, Mapping
from functools import cache
from types import ModuleType
from typing import Any, NamedTuple, get_args, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated import control, orders, query

__all__ = ['Envelope', 'message_kinds', 'open_envelope', 'seal']

#: Modules whose records with a ``kind`` are messages.
_MODULES = (control, orders, query)
_ENCODER = msgspec.msgpack.Encoder()


class _Wire(msgspec.Struct, array_like=True):
    """The envelope as it travels; the message is decoded by its kind."""

    sender: str
    incarnation: int
    sent: float
    remaining: float
    kind: str
    message: msgspec.Raw


_DECODER = msgspec.msgpack.Decoder(_Wire)


class Envelope(NamedTuple):
    """An opened envelope.

    Parameters
    ----------
    sender : str
        ``vm/role`` of the sender.
    incarnation : int
        Wall-clock time of its start, in ms.
    sent : float
        Time of sending on the sender's monotonic clock, in seconds.
    remaining : float
        Time that was left until the deadline at sending, in seconds.
    message : mapping
        The message; its types were checked.
    """

    sender: str
    incarnation: int
    sent: float
    remaining: float
    message: Mapping[str, Any]


@cache
def message_kinds() -> Mapping[str, type]:
    """Return the types of all messages by their kinds.

    Examples
    --------
    >>> message_kinds()['hello'].__name__
    'Hello'
    """
    return {
        kind: record for module in _MODULES for kind, record in _kinds(module)
    }


def seal(
    uid: NodeUid,
    sent: float,
    remaining: float,
    message: Mapping[str, Any],
) -> bytes:
    """Return the bytes of an envelope."""
    wire = _Wire(
        uid.name,
        uid.incarnation,
        sent,
        remaining,
        str(message['kind']),
        msgspec.Raw(_ENCODER.encode(message)),
    )
    return _ENCODER.encode(wire)


def open_envelope(frame: bytes) -> Result[Envelope, str]:
    """Decode an envelope and its message.

    Returns
    -------
    Result of Envelope or str
        The reason, when the bytes are no envelope or its message is of no
        known kind or lacks what its kind needs.

    Examples
    --------
    >>> open_envelope(b'junk').failure().partition(':')[0]
    'malformed'
    """
    try:
        wire = _DECODER.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Failure(f'malformed: {exc}')
    decoder = _message_decoders().get(wire.kind)
    if decoder is None:
        return Failure(f'unknown kind: {wire.kind}')
    try:
        message = decoder.decode(wire.message)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Failure(f'malformed: {exc}')
    return Success(
        Envelope(
            wire.sender,
            wire.incarnation,
            wire.sent,
            wire.remaining,
            message,
        ),
    )


@cache
def _message_decoders() -> Mapping[str, msgspec.msgpack.Decoder[Any]]:
    return {
        kind: msgspec.msgpack.Decoder(record)
        for kind, record in message_kinds().items()
    }


def _kinds(module: ModuleType) -> Iterator[tuple[str, type]]:
    for record in module.__dict__.values():
        annotations = getattr(record, '__annotations__', {})
        if isinstance(record, type) and 'kind' in annotations:
            hints = get_type_hints(record)
            for kind in get_args(hints['kind']):
                yield kind, record

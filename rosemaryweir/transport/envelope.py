"""Encodes and decodes the envelopes of messages between processes.

An envelope is a msgpack array.  It names the sender and its incarnation, the
time of sending on the sender's clock and the time left until the deadline of
the message.
"""

from collections.abc import Iterator, Mapping
from functools import cache
from types import ModuleType
from typing import Any, NamedTuple, get_args, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from rosemaryweir.node.state import NodeUid
from rosemaryweir.schema.generated import control, orders, query

__all__ = ['Envelope', 'decode_envelope', 'encode_envelope', 'message_types']

#: Modules with the message types: the records that have a ``kind`` field.
_MESSAGE_MODULES = (control, orders, query)
_ENCODER = msgspec.msgpack.Encoder()


class _EncodedEnvelope(msgspec.Struct, array_like=True):
    """Encoded envelope; the message is decoded later, as its kind requires."""

    sender: str
    incarnation: int
    sent: float
    remaining: float
    kind: str
    message: msgspec.Raw


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_EncodedEnvelope)


class Envelope(NamedTuple):
    """A decoded envelope.

    Parameters
    ----------
    sender : str
        ``vm/role`` of the sender.
    incarnation : int
        Wall-clock time at which the sender started, in ms.
    sent : float
        Time of sending on the sender's monotonic clock, in seconds.
    remaining : float
        Time left until the deadline when the message was sent, in seconds.
    message : mapping
        The message, checked against the type of its kind.
    """

    sender: str
    incarnation: int
    sent: float
    remaining: float
    message: Mapping[str, Any]


@cache
def message_types() -> Mapping[str, type]:
    """Return the message types by kind.

    Examples
    --------
    >>> message_types()['hello'].__name__
    'Hello'
    """
    return {
        kind: record
        for module in _MESSAGE_MODULES
        for kind, record in _message_types_of(module)
    }


def encode_envelope(
    uid: NodeUid,
    sent: float,
    remaining: float,
    message: Mapping[str, Any],
) -> bytes:
    """Return the encoded envelope of a message.

    Parameters
    ----------
    uid : NodeUid
        Identity of the sender.
    sent : float
        Time of sending on the sender's monotonic clock, in seconds.
    remaining : float
        Time left until the deadline, in seconds.
    message : mapping
        The message; its ``kind`` selects the type used for decoding.
    """
    encoded = _EncodedEnvelope(
        uid.name,
        uid.incarnation,
        sent,
        remaining,
        str(message['kind']),
        msgspec.Raw(_ENCODER.encode(message)),
    )
    return _ENCODER.encode(encoded)


def decode_envelope(frame: bytes) -> Result[Envelope, str]:
    """Decode an envelope and its message.

    Returns
    -------
    Result of Envelope or str
        The envelope, or the reason for which it can't be decoded: the bytes
        are not an envelope, the kind of the message is unknown, or the message
        doesn't match the type of its kind.

    Examples
    --------
    >>> decode_envelope(b'junk').failure().partition(':')[0]
    'malformed'
    """
    try:
        encoded = _ENVELOPE_DECODER.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Failure(f'malformed: {exc}')
    decoder = _message_decoders().get(encoded.kind)
    if decoder is None:
        return Failure(f'unknown kind: {encoded.kind}')
    try:
        message = decoder.decode(encoded.message)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Failure(f'malformed: {exc}')
    return Success(
        Envelope(
            encoded.sender,
            encoded.incarnation,
            encoded.sent,
            encoded.remaining,
            message,
        ),
    )


@cache
def _message_decoders() -> Mapping[str, msgspec.msgpack.Decoder[Any]]:
    return {
        kind: msgspec.msgpack.Decoder(record)
        for kind, record in message_types().items()
    }


def _message_types_of(module: ModuleType) -> Iterator[tuple[str, type]]:
    for record in module.__dict__.values():
        annotations = getattr(record, '__annotations__', {})
        if isinstance(record, type) and 'kind' in annotations:
            hints = get_type_hints(record)
            for kind in get_args(hints['kind']):
                yield kind, record

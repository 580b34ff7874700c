"""Decode requests of callers and operators: bytes to checked bodies.

Routes are registered by `route`.  Everything here is pure: a request gives
either a `Decoded` body or a `Refused` reply, with all findings collected.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from rosemaryweir.exception import Finding
from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.http import Refusal
from rosemaryweir.transport.exchange import HttpRequest

__all__ = ['Decoded', 'Refused', 'Route', 'decode', 'routes_of']

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_WRONG_METHOD = 405
#: Findings that one refusal lists at most.
MAX_FINDINGS = 50

#: Header to (field of the body, whether it is a number).
CONTEXT_HEADERS: Mapping[str, tuple[str, bool]] = {
    'x-deadline-ms': ('deadline_ms', True),
    'x-tenant': ('tenant', False),
    'x-class': ('class', False),
    'x-domain': ('domain', False),
}


class Decoded(NamedTuple):
    """What a request asks: topic and checked body."""

    topic: str
    body: Mapping[str, Any]


class Refused(NamedTuple):
    """Why a request is not taken."""

    status: int
    body: Refusal


class Route(NamedTuple):
    """A path of the HTTP interface.

    Parameters
    ----------
    method, path : str
        What the request line says.
    topic : str
        Topic of the event.
    schema : str
        Schema of the body; empty when it takes none.
    context : bool
        Whether the headers on deadline, tenant, class and failure domain
        are fields of the body.
    """

    method: str
    path: str
    topic: str
    schema: str = ''
    context: bool = False


Outcome: TypeAlias = Result[Decoded, Refused]

#: What every process shows of itself.
_PAGES = (
    Route('GET', '/v1/status', 'status'),
    Route('GET', '/v1/latency', 'latency'),
)
#: Paths of each server, by the name of its address in the settings.
_ROUTES: Mapping[str, tuple[Route, ...]] = {
    'entry_http': (
        Route('POST', '/v1/query', 'query', 'http/QueryRequest', context=True),
        Route('POST', '/v1/order', 'order', 'http/OrderRequest', context=True),
        Route('GET', '/v1/directory', 'directory', context=True),
        Route('GET', '/v1/health', 'health'),
        *_PAGES,
    ),
    'agent_http': (
        Route('POST', '/v1/notes', 'note', 'note'),
        Route('POST', '/v1/plan', 'plan', 'note'),
        Route('GET', '/v1/config', 'config'),
        *_PAGES,
    ),
    'leaf_http': _PAGES,
}


def routes_of(server: str) -> tuple[Route, ...]:
    """Return the routes of a server.

    Examples
    --------
    >>> [route.path for route in routes_of('agent_http')][:2]
    ['/v1/notes', '/v1/plan']
    """
    return _ROUTES.get(server, ())


def decode(server: str, request: HttpRequest) -> Outcome:
    """Decode one request.

    Parameters
    ----------
    server : str
        ``entry_http``, ``leaf_http`` or ``agent_http``.
    request : HttpRequest
        The request, whole.

    Returns
    -------
    Result of Decoded or Refused

    Examples
    --------
    >>> request = HttpRequest('GET', '/v1/healt', {}, b'')
    >>> decode('entry_http', request).failure().body['reason']
    'unknown_path'
    """
    path, _, query = request.path.partition('?')
    found = [route for route in routes_of(server) if route.path == path]
    if not found:
        known = ', '.join(route.path for route in routes_of(server))
        return _refuse(HTTP_NOT_FOUND, 'unknown_path', f'known paths: {known}')
    route = next((one for one in found if one.method == request.method), None)
    if route is None:
        wanted = f'{path} takes {found[0].method}'
        return _refuse(HTTP_WRONG_METHOD, 'malformed', wanted)
    return _decode_body(route, request, _query_fields(query))


def _decode_body(
    route: Route,
    request: HttpRequest,
    fields: Mapping[str, Any],
) -> Outcome:
    if not route.schema:
        context = _context(request.headers) if route.context else {}
        return Success(Decoded(route.topic, {**context, **fields}))
    try:
        body = msgspec.json.decode(request.body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return _refuse_body((Finding('$', f'not JSON: {exc}'),))
    if route.context and isinstance(body, dict):
        body = {**_context(request.headers), **body}
    found = findings(route.schema, body)
    if found:
        return _refuse_body(found)
    return Success(Decoded(route.topic, body))


def _context(headers: Mapping[str, str]) -> dict[str, Any]:
    return {
        field: _number(headers[name]) if numeric else headers[name]
        for name, (field, numeric) in CONTEXT_HEADERS.items()
        if name in headers
    }


def _number(text: str) -> int | str:
    # Text that is no number stays as it is, for the schema to refuse.
    return int(text) if text.isascii() and text.isdigit() else text


def _query_fields(query: str) -> dict[str, str]:
    pairs = (pair.partition('=') for pair in query.split('&') if pair)
    known = {field for field, _ in CONTEXT_HEADERS.values()}
    return {key: text for key, _, text in pairs if key in known}


def _refuse_body(found: tuple[Finding, ...]) -> Outcome:
    listed = [finding._asdict() for finding in found[:MAX_FINDINGS]]
    body = Refusal(
        reason='malformed',
        ran='not_run',
        detail=f'{len(found)} findings in the body',
        findings=listed,  # type: ignore[typeddict-item]
    )
    return Failure(Refused(HTTP_BAD_REQUEST, body))


def _refuse(status: int, reason: str, detail: str) -> Outcome:
    body = Refusal(
        reason=reason,  # type: ignore[typeddict-item]
        ran='not_run',
        detail=detail,
    )
    return Failure(Refused(status, body))

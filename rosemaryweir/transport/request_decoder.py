"""Decodes and validates HTTP requests of callers and operators.

All functions are pure: a request gives either a `DecodedRequest` or a
`RefusedRequest` that lists all findings.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from rosemaryweir.exception import Finding
from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.http import Refusal
from rosemaryweir.transport.exchange import HttpRequest

__all__ = [
    'DecodedRequest',
    'HttpRoute',
    'RefusedRequest',
    'decode_request',
    'routes_of',
]

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_WRONG_METHOD = 405
#: Maximum number of findings listed in one refusal.
MAX_FINDINGS = 50

#: Maps a header to its body field and whether its value is a number.
CONTEXT_HEADERS: Mapping[str, tuple[str, bool]] = {
    'x-deadline-ms': ('deadline_ms', True),
    'x-tenant': ('tenant', False),
    'x-class': ('class', False),
    'x-domain': ('domain', False),
}


class DecodedRequest(NamedTuple):
    """Topic and validated body of a request."""

    topic: str
    body: Mapping[str, Any]


class RefusedRequest(NamedTuple):
    """Status and body of the refusal of an invalid request."""

    status: int
    body: Refusal


class HttpRoute(NamedTuple):
    """A method and path of the HTTP interface.

    Parameters
    ----------
    method, path : str
        Method and path of the request line.
    topic : str
        Topic of the event that a request raises.
    schema : str
        Name of the schema of the body; empty if there is no body.
    context : bool
        Whether the headers for deadline, tenant, class and failure domain
        are merged into the body.
    """

    method: str
    path: str
    topic: str
    schema: str = ''
    context: bool = False


DecodeResult: TypeAlias = Result[DecodedRequest, RefusedRequest]

#: Routes that every process serves.
_COMMON_ROUTES = (
    HttpRoute('GET', '/v1/status', 'status'),
    HttpRoute('GET', '/v1/latency', 'latency'),
)
#: Routes of each server, by the name of its address in the settings.
_ROUTES: Mapping[str, tuple[HttpRoute, ...]] = {
    'entry_http': (
        HttpRoute(
            'POST', '/v1/query', 'query', 'http/QueryRequest', context=True
        ),
        HttpRoute(
            'POST', '/v1/order', 'order', 'http/OrderRequest', context=True
        ),
        HttpRoute('GET', '/v1/directory', 'directory', context=True),
        HttpRoute('GET', '/v1/health', 'health'),
        *_COMMON_ROUTES,
    ),
    'agent_http': (
        HttpRoute('POST', '/v1/notes', 'note', 'note'),
        HttpRoute('POST', '/v1/plan', 'plan', 'note'),
        HttpRoute('GET', '/v1/config', 'config'),
        *_COMMON_ROUTES,
    ),
    'leaf_http': _COMMON_ROUTES,
}


def routes_of(server: str) -> tuple[HttpRoute, ...]:
    """Return the routes of a server; empty if it is unknown.

    Examples
    --------
    >>> [route.path for route in routes_of('agent_http')][:2]
    ['/v1/notes', '/v1/plan']
    """
    return _ROUTES.get(server, ())


def decode_request(server: str, request: HttpRequest) -> DecodeResult:
    """Decode and validate one request.

    Parameters
    ----------
    server : str
        ``entry_http``, ``leaf_http`` or ``agent_http``.
    request : HttpRequest
        The complete request.

    Returns
    -------
    Result of DecodedRequest or RefusedRequest

    Examples
    --------
    >>> request = HttpRequest('GET', '/v1/healt', {}, b'')
    >>> decode_request('entry_http', request).failure().body['reason']
    'unknown_path'
    """
    path, _, query = request.path.partition('?')
    path_routes = [route for route in routes_of(server) if route.path == path]
    if not path_routes:
        known = ', '.join(route.path for route in routes_of(server))
        return _refuse(HTTP_NOT_FOUND, 'unknown_path', f'known paths: {known}')
    route = next(
        (each for each in path_routes if each.method == request.method), None
    )
    if route is None:
        detail = f'{path} expects method {path_routes[0].method}'
        return _refuse(HTTP_WRONG_METHOD, 'malformed', detail)
    return _decode_body(route, request, _parse_query(query))


def _decode_body(
    route: HttpRoute,
    request: HttpRequest,
    fields: Mapping[str, Any],
) -> DecodeResult:
    if not route.schema:
        context = _context_fields(request.headers) if route.context else {}
        return Success(DecodedRequest(route.topic, {**context, **fields}))
    try:
        body = msgspec.json.decode(request.body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return _refuse_findings((Finding('$', f'not JSON: {exc}'),))
    if route.context and isinstance(body, dict):
        body = {**_context_fields(request.headers), **body}
    found = findings(route.schema, body)
    if found:
        return _refuse_findings(found)
    return Success(DecodedRequest(route.topic, body))


def _context_fields(headers: Mapping[str, str]) -> dict[str, Any]:
    return {
        field: _parse_number(headers[name]) if numeric else headers[name]
        for name, (field, numeric) in CONTEXT_HEADERS.items()
        if name in headers
    }


def _parse_number(text: str) -> int | str:
    # Other text is kept, so that schema validation reports it.
    return int(text) if text.isascii() and text.isdigit() else text


def _parse_query(query: str) -> dict[str, str]:
    pairs = (pair.partition('=') for pair in query.split('&') if pair)
    known = {field for field, _ in CONTEXT_HEADERS.values()}
    return {key: text for key, _, text in pairs if key in known}


def _refuse_findings(found: tuple[Finding, ...]) -> DecodeResult:
    listed = [finding._asdict() for finding in found[:MAX_FINDINGS]]
    body = Refusal(
        reason='malformed',
        ran='not_run',
        detail=f'{len(found)} findings in the body',
        findings=listed,  # type: ignore[typeddict-item]
    )
    return Failure(RefusedRequest(HTTP_BAD_REQUEST, body))


def _refuse(status: int, reason: str, detail: str) -> DecodeResult:
    body = Refusal(
        reason=reason,  # type: ignore[typeddict-item]
        ran='not_run',
        detail=detail,
    )
    return Failure(RefusedRequest(status, body))

"""Tests of decoding and validating requests."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from rosemaryweir.transport.exchange import HttpRequest
from rosemaryweir.transport.request_decoder import decode_request

BODY = {'service': 'patrol-desk', 'query': 'AB12 CDE'}


def post_request(path, body, headers=None):
    return HttpRequest('POST', path, headers or {}, body)


def test_headers_are_merged_into_the_body_which_takes_precedence():
    headers = {'x-tenant': 'leeds', 'x-deadline-ms': '250', 'x-class': 'desk'}
    body = json.dumps({**BODY, 'tenant': 'york'}).encode()
    decoded = decode_request(
        'entry_http', post_request('/v1/query', body, headers)
    ).unwrap()
    assert decoded.topic == 'query'
    assert decoded.body == {
        **BODY,
        'tenant': 'york',
        'deadline_ms': 250,
        'class': 'desk',
    }


def test_refusal_lists_all_findings():
    body = json.dumps({'servce': 'x', 'query': 5}).encode()
    headers = {'x-deadline-ms': 'soon'}
    refused = decode_request(
        'entry_http', post_request('/v1/query', body, headers)
    ).failure()
    assert refused.status == 400
    assert refused.body['ran'] == 'not_run'
    paths = [finding['path'] for finding in refused.body['findings']]
    assert paths == ['$', '$.deadline_ms', '$.query', '$.servce']


@pytest.mark.parametrize(
    ('request_', 'status', 'reason'),
    [
        (HttpRequest('GET', '/v1/nothing', {}, b''), 404, 'unknown_path'),
        (HttpRequest('GET', '/v1/query', {}, b''), 405, 'malformed'),
        (post_request('/v1/notes', b'{}'), 404, 'unknown_path'),
        (post_request('/v1/query', b'{"service": NaN}'), 400, 'malformed'),
        (post_request('/v1/query', b'[' * 50000), 400, 'malformed'),
    ],
)
def test_invalid_requests_are_refused(request_, status, reason):
    refused = decode_request('entry_http', request_).failure()
    assert (refused.status, refused.body['reason']) == (status, reason)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200), st.text(max_size=20), st.text(max_size=20))
def test_arbitrary_input_raises_no_exception(body, path, number):
    request = HttpRequest('POST', '/v1/query', {'x-deadline-ms': number}, body)
    assert not is_successful(decode_request('entry_http', request))
    decode_request('entry_http', request._replace(path=path))

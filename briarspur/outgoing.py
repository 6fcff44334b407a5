"""Builds the outgoing request of an action, to a backend server or another entry."""

from twisted.web.http_headers import Headers

from briarspur import headers as names
from briarspur.answers import strong_etag
from briarspur.attempts import OpenRequest
from briarspur.backend import Outgoing
from briarspur.messages import Dispatch, Forward

__all__ = ["dispatch_request", "forward_request"]

MAX_OPEN_FORWARDS = 350
"""Maximum of concurrent requests to one other entry."""


def dispatch_request(
    action: Dispatch, open_request: OpenRequest, remaining: float, max_open: int
) -> Outgoing:
    """Build the request to a backend server.

    Parameters
    ----------
    remaining : float
        Seconds until the deadline.
    max_open : int
        Maximum of concurrent requests to the target.
    """
    headers = _build_headers(action, open_request)
    headers.setRawHeaders(names.TIMEOUT_MS, [_format_ms(remaining)])
    return _build_outgoing(action.target.host, action.target.port, open_request, headers, max_open)


def forward_request(
    action: Forward, open_request: OpenRequest, remaining: float, sender_id: str
) -> Outgoing:
    """Build the request to another entry; ``remaining`` is the time to the deadline in seconds."""
    headers = _build_headers(action, open_request)
    headers.setRawHeaders(names.FORWARDED_BY, [sender_id.encode()])
    headers.setRawHeaders(names.DEADLINE_MS, [_format_ms(remaining)])
    headers.setRawHeaders(names.BLOCK, [b"%d" % open_request.request.block])
    if action.dispatch_only:
        headers.setRawHeaders(names.DISPATCH_ONLY, [b"1"])
    entry = action.entry
    return _build_outgoing(entry.host, entry.forward_port, open_request, headers, MAX_OPEN_FORWARDS)


def _build_headers(action: Dispatch | Forward, open_request: OpenRequest) -> Headers:
    headers = names.request_headers(open_request.inbound.headers)
    headers.setRawHeaders(names.REQUEST_ID, [open_request.request.request_id.encode()])
    first = open_request.first_head
    etag = strong_etag(first.headers) if first is not None else None
    if action.resume_at and etag is not None:
        headers.setRawHeaders(b"Range", [b"bytes=%d-" % action.resume_at])
        headers.setRawHeaders(b"If-Range", [etag])
    return headers


def _build_outgoing(
    host: str, port: int, open_request: OpenRequest, headers: Headers, max_open: int
) -> Outgoing:
    request = open_request.request
    return Outgoing(
        host=host,
        port=port,
        method=request.method.encode(),
        uri=request.path.encode(),
        headers=headers,
        body=open_request.inbound.body,
        max_open=max_open,
    )


def _format_ms(remaining: float) -> bytes:
    return b"%d" % max(1, int(remaining * 1000))

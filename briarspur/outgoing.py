"""Makes the request that is sent for an action: to a backend server, or to another entry."""

from twisted.web.http_headers import Headers

from briarspur import headers as names
from briarspur.answers import strong_etag
from briarspur.attempts import OpenRequest
from briarspur.backend import Outgoing
from briarspur.messages import Dispatch, Forward

__all__ = ["dispatch_request", "forward_request"]

MOST_FORWARDS = 350
"""Requests open to one other entry at once."""


def dispatch_request(
    action: Dispatch, open_request: OpenRequest, remaining: float, most_open: int
) -> Outgoing:
    """Return the request to a backend server.

    Parameters
    ----------
    remaining : float
        Seconds until the deadline.
    most_open : int
        Requests that may be open to the target at once.
    """
    headers = _headers(action, open_request)
    headers.setRawHeaders(names.TIMEOUT_MS, [_milliseconds(remaining)])
    return _outgoing(action.target.host, action.target.port, open_request, headers, most_open)


def forward_request(
    action: Forward, open_request: OpenRequest, remaining: float, sender_id: str
) -> Outgoing:
    """Return the request to another entry; ``remaining`` seconds until the deadline."""
    headers = _headers(action, open_request)
    headers.setRawHeaders(names.FORWARDED_BY, [sender_id.encode()])
    headers.setRawHeaders(names.DEADLINE_MS, [_milliseconds(remaining)])
    headers.setRawHeaders(names.BLOCK, [b"%d" % open_request.request.block])
    if action.dispatch_only:
        headers.setRawHeaders(names.DISPATCH_ONLY, [b"1"])
    entry = action.entry
    return _outgoing(entry.host, entry.forward_port, open_request, headers, MOST_FORWARDS)


def _headers(action: Dispatch | Forward, open_request: OpenRequest) -> Headers:
    headers = names.request_headers(open_request.inbound.headers)
    headers.setRawHeaders(names.REQUEST_ID, [open_request.request.request_id.encode()])
    first = open_request.first_head
    etag = strong_etag(first.headers) if first is not None else None
    if action.resume_at and etag is not None:
        headers.setRawHeaders(b"Range", [b"bytes=%d-" % action.resume_at])
        headers.setRawHeaders(b"If-Range", [etag])
    return headers


def _outgoing(
    host: str, port: int, open_request: OpenRequest, headers: Headers, most_open: int
) -> Outgoing:
    request = open_request.request
    return Outgoing(
        host=host,
        port=port,
        method=request.method.encode(),
        uri=request.path.encode(),
        headers=headers,
        body=open_request.inbound.body,
        most_open=most_open,
    )


def _milliseconds(remaining: float) -> bytes:
    return b"%d" % max(1, int(remaining * 1000))

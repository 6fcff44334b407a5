"""The names that the platform's protocol uses on the wire."""

__all__ = [
    "AFFINITY_KEY",
    "API_KEY",
    "COLD_MS",
    "CUSTOMER",
    "DEADLINE_MS",
    "EXPECTED_INSTANCE",
    "NOT_EXECUTED",
    "REQUEST_ID",
    "RESPONSE_SIGNATURE",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
]

REQUEST_ID = b"X-Request-Id"
"""Each attempt of a caller has its own."""
AFFINITY_KEY = b"X-Affinity-Key"
"""The object that a request concerns."""
DEADLINE_MS = b"X-Deadline-Ms"
"""Milliseconds that are left, not a point in time."""
EXPECTED_INSTANCE = b"X-Expected-Instance"
"""The id of the only backend server that may run the request."""
RESPONSE_SIGNATURE = b"X-Response-Signature"
"""On every answer of a backend server that ran the request."""
NOT_EXECUTED = b"X-Not-Executed"
"""The backend server did not run the request."""
COLD_MS = b"X-Cold-Ms"
"""Milliseconds for which a backend server stays cold."""
API_KEY = b"X-Credential"
"""The key of the customer who asks; it goes to no backend server."""
CUSTOMER = b"X-Tenant-Id"
"""The name of that customer, as a backend server gets it."""
SERVER_LIMIT = b"Server-Limit"
"""Requests per second that a backend server takes from all entries together."""
SERVER_LEAVING = b"Server-Leaving"
"""The backend server takes no new work any more."""

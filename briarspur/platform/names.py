"""Header names of the platform's protocol."""

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
    "STORE_ERA",
]

REQUEST_ID = b"X-Request-Id"
"""Unique to each attempt of a caller."""
AFFINITY_KEY = b"X-Affinity-Key"
"""Identifies the object that a request concerns."""
DEADLINE_MS = b"X-Deadline-Ms"
"""Milliseconds remaining, not a point in time."""
EXPECTED_INSTANCE = b"X-Expected-Instance"
"""The id of the only backend server that may execute the request."""
RESPONSE_SIGNATURE = b"X-Response-Signature"
"""Present in every response of a backend server that executed the request."""
NOT_EXECUTED = b"X-Not-Executed"
"""The backend server did not execute the request."""
COLD_MS = b"X-Cold-Ms"
"""Milliseconds for which the backend server remains cold."""
API_KEY = b"X-Credential"
"""The API key of the customer; never forwarded to a backend server."""
CUSTOMER = b"X-Tenant-Id"
"""The name of the customer, added to requests that are sent to a backend server."""
SERVER_LIMIT = b"Server-Limit"
"""Requests per second that a backend server accepts from all entries together."""
SERVER_LEAVING = b"Server-Leaving"
"""The backend server no longer accepts new work."""
STORE_ERA = b"Store-Era"
"""Rises by one each time that the store returns from an older copy of its objects."""

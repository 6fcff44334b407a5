"""Numbered result codes: the outcome of a request, and whether its caller may retry."""

from dataclasses import dataclass
from enum import Enum, IntEnum

__all__ = ["CODES", "Code", "CodeInfo", "Ran", "Repeat"]


class Ran(Enum):
    """Whether a backend server executed the request."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Repeat(Enum):
    """Whether the caller may retry the request, and how."""

    NOT_NEEDED = "not needed"
    SAME_KEY = "yes, with the same key"
    AFTER_RETRY_AFTER = "yes, after Retry-After"
    AFTER_MENDING = "only after mending the request"
    ASK_FIRST = "no: ask the service what was recorded first"


class Code(IntEnum):
    """Result codes; numbers are never reused for another meaning.

    The first digit is the class: 1 answered, 2 refused and not run, 3 a once-only request whose
    outcome is unknown to this entry, 4 a failed idempotent request, 5 an internal error.
    ``not run`` covers every copy of a request with the same key, so only an entry that knows the
    key may return such a code.
    """

    ANSWERED = 1000
    REPLAYED = 1001
    ANSWERED_NOT_KEPT = 1002
    BAD_REQUEST = 2000
    UNKNOWN_SERVICE = 2001
    MALFORMED_KEY = 2002
    KEY_REQUIRED = 2003
    KEY_REUSED = 2005
    NO_ROUTE = 2009
    UNKNOWN_CUSTOMER = 2010
    HEADERS_TOO_LARGE = 2006
    BODY_TOO_LARGE = 2007
    CALLER_TOO_SLOW = 2008
    OVERLOADED = 2100
    REGION_FULL = 2101
    LINK_FULL = 2102
    SHIFT_CAPPED = 2103
    NO_TARGET = 2104
    DEADLINE_TOO_SHORT = 2105
    QUARANTINED = 2106
    NOT_READY = 2107
    RETRY_BUDGET_SPENT = 2110
    ATTEMPTS_SPENT = 2112
    MEMORY_FULL = 2111
    QUOTA_SPENT = 2113
    SUSPENDED = 2114
    OUTCOME_UNKNOWN = 3000
    HOME_GONE = 3001
    DEADLINE_PASSED_AFTER_DISPATCH = 3002
    HOME_UNREACHABLE = 3003
    STORE_UNAVAILABLE = 3004
    KEY_EXPIRED = 3005
    NOT_READ = 3006
    CONNECTION_LOST = 4000
    ANSWER_CUT_SHORT = 4001
    DEADLINE_PASSED = 4002
    CALLER_GONE = 4003
    INTERNAL_ERROR = 5000


@dataclass(frozen=True, slots=True)
class CodeInfo:
    """The row of a code in the table in ``docs/RESULT-CODES.md``."""

    http_status: int
    ran: Ran
    repeat: Repeat
    meaning: str


CODES: dict[Code, CodeInfo] = {
    Code.ANSWERED: CodeInfo(200, Ran.YES, Repeat.NOT_NEEDED, "the whole answer"),
    Code.REPLAYED: CodeInfo(
        200, Ran.YES, Repeat.NOT_NEEDED, "the answer of the first request with this key"
    ),
    Code.ANSWERED_NOT_KEPT: CodeInfo(
        409, Ran.YES, Repeat.ASK_FIRST, "already run with this key; its answer was not kept"
    ),
    Code.BAD_REQUEST: CodeInfo(
        400, Ran.NO, Repeat.AFTER_MENDING, "the request could not be understood"
    ),
    Code.UNKNOWN_SERVICE: CodeInfo(
        404, Ran.NO, Repeat.AFTER_MENDING, "no service in the policy has this path or name"
    ),
    Code.MALFORMED_KEY: CodeInfo(
        400, Ran.NO, Repeat.AFTER_MENDING, "the Idempotency-Key is not of the documented form"
    ),
    Code.KEY_REQUIRED: CodeInfo(
        400, Ran.NO, Repeat.AFTER_MENDING, "a once-only request came without an Idempotency-Key"
    ),
    Code.KEY_REUSED: CodeInfo(
        422, Ran.NO, Repeat.AFTER_MENDING, "the key was used before with another request"
    ),
    Code.NO_ROUTE: CodeInfo(
        404, Ran.NO, Repeat.AFTER_MENDING, "no route of the configuration has this host and path"
    ),
    Code.UNKNOWN_CUSTOMER: CodeInfo(
        401, Ran.NO, Repeat.AFTER_MENDING, "no customer holds the API key of the request"
    ),
    Code.HEADERS_TOO_LARGE: CodeInfo(
        431, Ran.NO, Repeat.AFTER_MENDING, "the request headers exceed the limit"
    ),
    Code.BODY_TOO_LARGE: CodeInfo(
        413, Ran.NO, Repeat.AFTER_MENDING, "the request body exceeds the limit"
    ),
    Code.CALLER_TOO_SLOW: CodeInfo(
        408, Ran.NO, Repeat.SAME_KEY, "the request did not arrive within the time limit"
    ),
    Code.OVERLOADED: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "no slot would be free before the deadline"
    ),
    Code.REGION_FULL: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the region's in-flight limit is used up"
    ),
    Code.LINK_FULL: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the link's byte rate is used up"
    ),
    Code.SHIFT_CAPPED: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "moving the request would exceed the cap on shifts"
    ),
    Code.NO_TARGET: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "no backend server takes new work for the service"
    ),
    Code.DEADLINE_TOO_SHORT: CodeInfo(
        504, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the deadline had passed before it was sent"
    ),
    Code.QUARANTINED: CodeInfo(
        422, Ran.UNKNOWN, Repeat.AFTER_MENDING, "the request crashed backend servers; not run again"
    ),
    Code.NOT_READY: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the entry has no policy yet or is stopping"
    ),
    Code.RETRY_BUDGET_SPENT: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the attempt failed and the retry budget is spent"
    ),
    Code.ATTEMPTS_SPENT: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "as many backend servers as allowed turned it away"
    ),
    Code.MEMORY_FULL: CodeInfo(
        503, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the entry remembers as many keys as it may"
    ),
    Code.QUOTA_SPENT: CodeInfo(
        429, Ran.NO, Repeat.AFTER_RETRY_AFTER, "the customer's quota over all entries is used up"
    ),
    Code.SUSPENDED: CodeInfo(
        503,
        Ran.NO,
        Repeat.AFTER_RETRY_AFTER,
        "earlier copies crashed backend servers, it seems; this one was not run",
    ),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        502,
        Ran.UNKNOWN,
        Repeat.ASK_FIRST,
        "the connection broke, or the server failed, after the request was handed over",
    ),
    Code.HOME_GONE: CodeInfo(
        502, Ran.UNKNOWN, Repeat.ASK_FIRST, "the key's home entry is gone and left no outcome"
    ),
    Code.DEADLINE_PASSED_AFTER_DISPATCH: CodeInfo(
        504, Ran.UNKNOWN, Repeat.ASK_FIRST, "the deadline passed after the request was handed over"
    ),
    Code.HOME_UNREACHABLE: CodeInfo(
        503, Ran.UNKNOWN, Repeat.SAME_KEY, "this entry can't reach the one that knows the key"
    ),
    Code.STORE_UNAVAILABLE: CodeInfo(
        503,
        Ran.UNKNOWN,
        Repeat.SAME_KEY,
        "this copy was not run; an earlier one can't be ruled out",
    ),
    Code.KEY_EXPIRED: CodeInfo(
        410, Ran.UNKNOWN, Repeat.ASK_FIRST, "the key is older than its memory; it is not run now"
    ),
    Code.NOT_READ: CodeInfo(
        503,
        Ran.UNKNOWN,
        Repeat.SAME_KEY,
        "this copy was refused before it was read and not run; an earlier one can't be ruled out",
    ),
    Code.CONNECTION_LOST: CodeInfo(
        502, Ran.UNKNOWN, Repeat.SAME_KEY, "an idempotent request's connection broke"
    ),
    Code.ANSWER_CUT_SHORT: CodeInfo(
        502, Ran.UNKNOWN, Repeat.SAME_KEY, "the answer broke off; the caller's connection is cut"
    ),
    Code.DEADLINE_PASSED: CodeInfo(
        504, Ran.UNKNOWN, Repeat.SAME_KEY, "an idempotent request's deadline passed"
    ),
    Code.CALLER_GONE: CodeInfo(
        499, Ran.UNKNOWN, Repeat.SAME_KEY, "the caller closed its connection before the answer"
    ),
    Code.INTERNAL_ERROR: CodeInfo(
        500, Ran.UNKNOWN, Repeat.ASK_FIRST, "a fault of briarspur; see the log by request id"
    ),
}

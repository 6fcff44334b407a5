"""Filter: decide how to handle a once-only request by what is known about its key."""

from dataclasses import dataclass

from briarspur.codes import Code
from briarspur.coord import once
from briarspur.coord.keys import Key, parse_key
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import RequestKind
from briarspur.refusal import Refusal
from briarspur.work import Classified

__all__ = [
    "ClaimKey",
    "Decision",
    "Deduplicator",
    "FetchFromStore",
    "ForwardToHome",
    "Proceed",
    "Reject",
    "ReplayAnswer",
    "WaitForOutcome",
]


@dataclass(frozen=True, slots=True)
class Proceed:
    """Continue with the next filter; ``key`` is None if this entry doesn't track a key for it."""

    key: Key | None = None


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim the foreign key in the store first, then run it."""

    key: Key


@dataclass(frozen=True, slots=True)
class ForwardToHome:
    """Forward the request to the home of its key."""

    home: ViewedMember


@dataclass(frozen=True, slots=True)
class FetchFromStore:
    """The home has terminated: read its outcomes from the store. No entry runs the key again."""

    key: Key


@dataclass(frozen=True, slots=True)
class WaitForOutcome:
    """The key is running; this caller gets the same outcome."""

    key: Key


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Send the answer of the run that this key already had."""

    answer: once.KeptAnswer


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the request."""

    refusal: Refusal


Decision = (
    Proceed | ClaimKey | ForwardToHome | FetchFromStore | WaitForOutcome | ReplayAnswer | Reject
)


class Deduplicator:
    """Ensures that each key is dispatched by a single entry process only.

    If two entries each ran a copy of the same booking, it would be recorded twice, and no later
    check could undo that. So a key that a look-up issued is run only by the incarnation named in
    it, and by no entry once that process has terminated.

    Parameters
    ----------
    keys : KeyMemory
        The keys whose home is this entry.
    """

    def __init__(self, keys: once.KeyMemory) -> None:
        self._keys = keys

    def decide(self, item: Classified, view: MemberView, now: float, wall: float) -> Decision:
        """Return how to handle a request; ``wall`` is Unix time in seconds."""
        request = item.request
        if item.rule.kind is RequestKind.IDEMPOTENT or request.dispatch_only:
            return Proceed()
        if request.key is None:
            return Reject(Refusal(Code.KEY_REQUIRED))
        parsed = parse_key(request.key)
        if parsed.is_error():
            return Reject(Refusal(Code.MALFORMED_KEY, parsed.error.value))
        key = parsed.ok
        result = self._keys.admit_request(key, request.body_digest, request.request_id, now, wall)
        if isinstance(result, once.NotHome):
            return self._decide_for_other_home(key, result.incarnation, item, view)
        return self._decide_as_home(key, result)

    def _decide_for_other_home(
        self, key: Key, incarnation: str, item: Classified, view: MemberView
    ) -> Decision:
        home = view.by_incarnation(incarnation)
        if home is None:
            return FetchFromStore(key)
        if item.request.forwarded_by is not None:
            # Two entries with different views would forward the request to each other forever.
            return Reject(Refusal(Code.HOME_UNREACHABLE, retry_after=1.0))
        return ForwardToHome(home)

    def _decide_as_home(self, key: Key, result: once.AdmitResult) -> Decision:
        match result:
            case once.Fresh(claimed=claimed):
                return ClaimKey(key) if key.is_foreign and not claimed else Proceed(key)
            case once.Joined():
                return WaitForOutcome(key)
            case once.Replay(answer=None):
                return Reject(Refusal(Code.ANSWERED_NOT_KEPT))
            case once.Replay(answer=answer) if answer is not None:
                return ReplayAnswer(answer)
            case once.OutcomeLost():
                return Reject(Refusal(Code.OUTCOME_UNKNOWN))
            case once.KeyReused():
                return Reject(Refusal(Code.KEY_REUSED))
            case once.Expired():
                return Reject(Refusal(Code.KEY_EXPIRED))
            case once.NotIssued():
                return Reject(Refusal(Code.MALFORMED_KEY, "expiry too far ahead"))
            case _:
                return Reject(Refusal(Code.MEMORY_FULL, retry_after=5.0))

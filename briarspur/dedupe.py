"""Filter: what is to be done with a once-only request, by what is known of its key."""

from dataclasses import dataclass

from briarspur.codes import Code
from briarspur.coord import once
from briarspur.coord.keys import Key, parse_key
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import Kind
from briarspur.refusal import Refusal
from briarspur.work import Classified

__all__ = [
    "AskStore",
    "ClaimKey",
    "Deduplicator",
    "Final",
    "Known",
    "Run",
    "Step",
    "ToHome",
    "WaitForOutcome",
]


@dataclass(frozen=True, slots=True)
class Run:
    """Go on to the next filter; ``key`` is None where no key has to be kept here."""

    key: Key | None = None


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim the foreign key in the store first, then run it."""

    key: Key


@dataclass(frozen=True, slots=True)
class ToHome:
    """Forward the request to the home of its key."""

    home: ViewedMember


@dataclass(frozen=True, slots=True)
class AskStore:
    """The home is gone: read what it left in the store. Nobody runs the key any more."""

    key: Key


@dataclass(frozen=True, slots=True)
class WaitForOutcome:
    """The key runs already; its outcome will be this caller's too."""

    key: Key


@dataclass(frozen=True, slots=True)
class Known:
    """The key has run, and this is its answer."""

    answer: once.KeptAnswer


@dataclass(frozen=True, slots=True)
class Final:
    """Refuse."""

    refusal: Refusal


Step = Run | ClaimKey | ToHome | AskStore | WaitForOutcome | Known | Final


class Deduplicator:
    """Sends each key to the one entry process that may dispatch it.

    Two entries that each ran a copy of the same booking would record it twice, and no check after
    the fact could undo that. So a key of a look-up is run only by the incarnation named in it, and
    when that process is gone, by nobody.

    Parameters
    ----------
    keys : KeyMemory
        The keys this entry is the home of.
    """

    def __init__(self, keys: once.KeyMemory) -> None:
        self._keys = keys

    def arrive(self, item: Classified, view: MemberView, now: float, wall: float) -> Step:
        """Decide about a request; ``wall`` is unix time in seconds."""
        request = item.request
        if item.rule.kind is Kind.IDEMPOTENT or request.dispatch_only:
            return Run()
        if request.key is None:
            return Final(Refusal(Code.KEY_REQUIRED))
        parsed = parse_key(request.key)
        if parsed.is_error():
            return Final(Refusal(Code.MALFORMED_KEY, parsed.error.value))
        key = parsed.ok
        arrival = self._keys.admit_request(key, request.body_digest, request.request_id, now, wall)
        if isinstance(arrival, once.NotHome):
            return self._send_home(key, arrival.incarnation, item, view)
        return self._at_home(key, arrival)

    def _send_home(self, key: Key, incarnation: str, item: Classified, view: MemberView) -> Step:
        home = view.by_incarnation(incarnation)
        if home is None:
            return AskStore(key)
        if item.request.forwarded_by is not None:
            # Two entries with different views would send the request to and fro.
            return Final(Refusal(Code.HOME_UNREACHABLE, retry_after=1.0))
        return ToHome(home)

    def _at_home(self, key: Key, arrival: once.AdmitResult) -> Step:
        match arrival:
            case once.Fresh(claimed=claimed):
                return ClaimKey(key) if key.is_foreign and not claimed else Run(key)
            case once.Joined():
                return WaitForOutcome(key)
            case once.Replay(answer=None):
                return Final(Refusal(Code.ANSWERED_NOT_KEPT))
            case once.Replay(answer=answer) if answer is not None:
                return Known(answer)
            case once.OutcomeLost():
                return Final(Refusal(Code.OUTCOME_UNKNOWN))
            case once.KeyReused():
                return Final(Refusal(Code.KEY_REUSED))
            case once.Expired():
                return Final(Refusal(Code.KEY_EXPIRED))
            case once.NotIssued():
                return Final(Refusal(Code.MALFORMED_KEY, "expiry too far ahead"))
            case _:
                return Final(Refusal(Code.MEMORY_FULL, retry_after=5.0))

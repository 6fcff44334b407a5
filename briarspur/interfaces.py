"""What a carrier of requests needs around it: the core, a sender, a clock, keys, pacing."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from briarspur.backend import Attempt, AttemptEvents, Outgoing
from briarspur.codes import Code
from briarspur.messages import Action, Failure, Priority, Request, SettledClaim
from briarspur.refusal import Answer

__all__ = [
    "CarryObserver",
    "Clock",
    "DecisionCore",
    "DelayedCall",
    "FetchedOutcome",
    "KeyStore",
    "LinkPacer",
    "NoPacing",
    "Sender",
]


@dataclass(frozen=True, slots=True)
class FetchedOutcome:
    """What a gone incarnation left about a key; ``answer`` is None if it was not kept."""

    found: bool
    answer: Answer | None = None


class DecisionCore(Protocol):
    """The decisions. Each event returns the actions to carry out, in order; times in seconds.

    ``Request.deadline`` is infinite if the caller gave none; the core takes the earlier of it and
    the rule's. Events of an attempt that was cancelled are not reported.
    """

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        """Decide on a new request; ``wall`` is unix time in seconds."""

    def answer_began(self, attempt_id: int, status: int, now: float) -> list[Action]:
        """Decide on an answer: ``Begin`` passes it on; without one the attempt is dropped."""

    def answer_ended(
        self, attempt_id: int, answer: Answer | None, size: int, now: float, status: int = 200
    ) -> list[Action]:
        """Note a whole answer of ``size`` bytes; ``answer`` if it is to be remembered."""

    def attempt_failed(
        self,
        attempt_id: int,
        failure: Failure,
        now: float,
        retry_after: float | None = None,
        bytes_sent: int = 0,
        resumable: bool = False,
        crashed: bool = False,
    ) -> list[Action]:
        """Decide on a failed attempt, of whose body the caller has ``passed`` bytes."""

    def caller_gone(self, request_id: str, now: float) -> list[Action]:
        """Decide on a request nobody waits for any more."""

    def claim_settled(self, request_id: str, claim: SettledClaim, now: float) -> list[Action]:
        """Go on after a claim."""

    def outcome_fetched(
        self, request_id: str, found: bool, answer: Answer | None, now: float
    ) -> list[Action]:
        """Go on after reading a gone incarnation's outcomes."""

    def tick(self, now: float, wall: float) -> list[Action]:
        """Do what is due."""

    def next_wake(self, now: float) -> float | None:
        """Return when a tick is due at the latest, None if nothing waits."""


class KeyStore(Protocol):
    """The object store as keys need it."""

    async def claim(self, key: str, body_digest: bytes) -> SettledClaim:
        """Claim a foreign key."""

    async def fetch(self, incarnation: str, key: str) -> FetchedOutcome:
        """Read what a gone incarnation recorded about a key."""


class CarryObserver(Protocol):
    """Who counts requests and answers, and learns what backend servers say of themselves."""

    def arrived(self, request: Request) -> None:
        """Count a request."""

    def answered(self, request: Request, region: str, code: Code, seconds: float) -> None:
        """Count a final answer.

        Parameters
        ----------
        region : str
            Where it was dispatched to; empty if it was not dispatched by this entry.
        seconds : float
            From the request's arrival to the answer's end.
        """

    def target_leaving(self, target_id: str) -> None:
        """Note that a backend server said in an answer that it takes no new work."""


class LinkPacer(Protocol):
    """The byte rate of links."""

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Account for ``size`` bytes of a region's link; return the seconds to pause."""


class NoPacing:
    """Links without a limit."""

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Never pause."""
        return 0.0


class Sender(Protocol):
    """What sends requests; :class:`briarspur.backend.BackendClient` in a daemon."""

    def send(self, outgoing: Outgoing, events: AttemptEvents) -> Attempt:
        """Send a request."""


class DelayedCall(Protocol):
    """A call that is due later."""

    def getTime(self) -> float:  # noqa: N802
        """Return when it is due, in seconds on the clock."""

    def reset(self, seconds: float) -> None:
        """Make it due ``seconds`` from now."""

    def cancel(self) -> None:
        """Never make it."""


class Clock(Protocol):
    """Monotonic time and delayed calls; the reactor in a daemon."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> DelayedCall:
        """Call after a delay in seconds."""

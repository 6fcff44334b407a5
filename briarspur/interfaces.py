"""The interfaces that the driver of requests uses: core, sender, clock, key store, pacing."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from briarspur.backend import Attempt, AttemptEvents, Outgoing
from briarspur.codes import Code
from briarspur.messages import Action, Failure, Priority, Request, SettledClaim
from briarspur.refusal import Answer

__all__ = [
    "Clock",
    "DecisionCore",
    "DelayedCall",
    "FetchedOutcome",
    "KeyStore",
    "NoPacing",
    "RegionPacer",
    "RequestObserver",
    "Sender",
]


@dataclass(frozen=True, slots=True)
class FetchedOutcome:
    """The outcome of a key that a terminated incarnation stored.

    Attributes
    ----------
    answer : Answer or None
        None if the answer was not kept.
    """

    found: bool
    answer: Answer | None = None


class DecisionCore(Protocol):
    """Makes the decisions: each event returns the actions to carry out, in order.

    Times are in seconds. ``Request.deadline`` is infinite if the caller sent none; the core uses
    the earlier one of it and the rule's. Events of a cancelled attempt must not be reported.
    """

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        """Handle a new request; ``wall`` is Unix time in seconds."""

    def answer_began(self, attempt_id: int, status: int, now: float) -> list[Action]:
        """Handle the head of an answer; unless ``Begin`` is returned, the attempt is dropped."""

    def answer_ended(
        self, attempt_id: int, answer: Answer | None, size: int, now: float, status: int = 200
    ) -> list[Action]:
        """Handle a complete answer of ``size`` bytes; ``answer`` is set if it has to be kept."""

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
        """Handle a failed attempt; ``bytes_sent`` bytes of the body were sent to the caller."""

    def caller_gone(self, request_id: str, now: float) -> list[Action]:
        """Handle the disconnect of a request's caller."""

    def claim_settled(self, request_id: str, claim: SettledClaim, now: float) -> list[Action]:
        """Continue a request after its claim."""

    def outcome_fetched(
        self, request_id: str, found: bool, answer: Answer | None, now: float
    ) -> list[Action]:
        """Continue a request after reading the outcomes of a terminated incarnation."""

    def tick(self, now: float, wall: float) -> list[Action]:
        """Run the timed work that is due."""

    def next_wake(self, now: float) -> float | None:
        """Return when the next tick is due at the latest; None if no request is queued."""


class KeyStore(Protocol):
    """Access to claims and outcomes of keys in the object store."""

    async def claim(self, key: str, body_digest: bytes) -> SettledClaim:
        """Claim a foreign key."""

    async def fetch(self, incarnation: str, key: str) -> FetchedOutcome:
        """Read the outcome of a key that a terminated incarnation recorded."""


class RequestObserver(Protocol):
    """Counts requests and answers, and receives the notices of backend servers."""

    def arrived(self, request: Request) -> None:
        """Count a request."""

    def answered(self, request: Request, region: str, code: Code, seconds: float) -> None:
        """Count a final answer.

        Parameters
        ----------
        region : str
            Region that it was dispatched to; empty if this entry did not dispatch it.
        seconds : float
            Time from the arrival of the request to the end of the answer.
        """

    def target_leaving(self, target_id: str) -> None:
        """Record that a backend server reported in an answer that it is leaving."""


class RegionPacer(Protocol):
    """Limits the byte rate of each region's link."""

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Account for ``size`` bytes on a region's link; return the seconds to pause."""


class NoPacing:
    """Links without a rate limit."""

    def take(self, region: str, priority: Priority, size: int, now: float) -> float:
        """Return no pause."""
        return 0.0


class Sender(Protocol):
    """Sends requests; :class:`briarspur.backend.BackendClient` in a daemon."""

    def send(self, outgoing: Outgoing, events: AttemptEvents) -> Attempt:
        """Send a request."""


class DelayedCall(Protocol):
    """A scheduled call."""

    def getTime(self) -> float:  # noqa: N802
        """Return when the call is due, in seconds on the clock."""

    def reset(self, seconds: float) -> None:
        """Reschedule the call to ``seconds`` from now."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """Monotonic time and delayed calls; the reactor in a daemon."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> DelayedCall:
        """Call after a delay in seconds."""

"""News that entries exchange (loads, verdicts, leaving targets) and loans between them."""

import random
from dataclasses import dataclass

from briarspur.coord.quarantine import Quarantine, Verdict
from briarspur.loads import LoadReport
from briarspur.members import MemberView
from briarspur.placement import Placement

__all__ = ["BorrowRequest", "Exchange", "LeavingNotice", "News"]

LOAN_LIFETIME_S = 10.0
"""How long a part of the region's limit is borrowed."""

BORROW_INTERVAL_S = 1.0
"""Minimum time between two borrow requests."""

LEAVING_LIFETIME_S = 30.0
"""How long a target's leaving notice is valid; after that, one request probes the target again."""

MAX_VERDICTS_PER_MESSAGE = 16
MAX_LEAVING_PER_MESSAGE = 32


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A target announced ``age`` seconds ago that it accepts no new requests."""

    target_id: str
    age: float


@dataclass(frozen=True, slots=True)
class News:
    """Payload of a probe or its reply, in addition to members and object versions."""

    loads: tuple[LoadReport, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class BorrowRequest:
    """Request to borrow a part of the region's limit from an entry."""

    entry_id: str
    resource: str
    amount: int
    transfer_id: str
    lifetime: float
    requested_at: float


class Exchange:
    """The core's side of the exchange of news and loans between entries."""

    def __init__(
        self, entry_id: str, incarnation: str, placement: Placement, quarantine: Quarantine
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._placement = placement
        self._quarantine = quarantine
        self._leaving_since_by_id: dict[str, float] = {}
        self._transfer_count = 0
        self._last_request_at = float("-inf")

    def news(self, now: float) -> News:
        """Return the news to send to a peer, bounded in size."""
        leaving = sorted(self._leaving_since_by_id.items(), key=lambda item: -item[1])
        return News(
            loads=tuple(self._placement.load_reports(now)),
            verdicts=tuple(self._quarantine.verdicts(now)[:MAX_VERDICTS_PER_MESSAGE]),
            leaving=tuple(
                LeavingNotice(target_id, now - since)
                for target_id, since in leaving[:MAX_LEAVING_PER_MESSAGE]
                if now - since < LEAVING_LIFETIME_S
            ),
        )

    def record_news(self, news: News, now: float) -> None:
        """Record the news from a peer."""
        for load in news.loads:
            if load.entry_id != self._entry_id:
                self._placement.loads.record_report(load, now)
        for verdict in news.verdicts:
            self._quarantine.merge_verdict(verdict, now)
        for notice in news.leaving:
            self.record_leaving(notice.target_id, now - notice.age, now)

    def record_leaving(self, target_id: str, since: float, now: float) -> None:
        """Send no new requests to a leaving target, whatever the source of the notice.

        A notice ages. Entries forward it with its age, so that it can't circulate among them
        forever after the target has come back.
        """
        previous = self._leaving_since_by_id.get(target_id, float("-inf"))
        if since <= previous or now - since >= LEAVING_LIFETIME_S:
            return
        self._leaving_since_by_id[target_id] = since
        self._placement.mark_leaving(target_id, since + LEAVING_LIFETIME_S)
        self._remove_expired(now)

    def _remove_expired(self, now: float) -> None:
        for target_id, since in list(self._leaving_since_by_id.items()):
            if now - since >= LEAVING_LIFETIME_S:
                del self._leaving_since_by_id[target_id]

    def next_borrow_request(
        self, view: MemberView, rng: random.Random, now: float
    ) -> BorrowRequest | None:
        """Return a request for a part of the region's limit; None if none is needed now."""
        account = self._placement.account
        waiting = self._placement.total_queue_length()
        needed = waiting > 0 and account.free(now, now) == 0
        if not needed or now - self._last_request_at < BORROW_INTERVAL_S:
            return None
        peers = [e for e in view.serving(self._placement.region) if e != self._entry_id]
        if not peers:
            return None
        self._last_request_at = now
        self._transfer_count += 1
        return BorrowRequest(
            entry_id=rng.choice(peers),
            resource=account.resource,
            amount=waiting,
            transfer_id=f"{self._incarnation}-{self._transfer_count}",
            lifetime=LOAN_LIFETIME_S,
            requested_at=now,
        )

    def lend(
        self, resource: str, transfer_id: str, amount: int, lifetime: float, now: float
    ) -> int:
        """Lend a peer a part of this entry's units; return the number granted."""
        account = self._placement.account
        if resource != account.resource:
            return 0
        return account.lend(transfer_id, amount, lifetime, now)

    def add_borrowed(self, request: BorrowRequest, granted: int) -> None:
        """Add the units that a peer granted."""
        if granted > 0:
            self._placement.account.add_borrowed(
                request.transfer_id, granted, request.requested_at, request.lifetime
            )

"""What the core tells other entries and learns: loads, verdicts, leaving targets, loans."""

import random
from dataclasses import dataclass

from briarspur.coord.quarantine import Quarantine, Verdict
from briarspur.loads import LoadReport
from briarspur.members import MemberView
from briarspur.placement import Placement

__all__ = ["BorrowWanted", "Exchange", "LeavingNotice", "News"]

LOAN_LIFETIME_S = 10.0
"""Seconds for which a part of the region's limit is borrowed."""

BORROW_INTERVAL_S = 1.0
"""Seconds between two requests to borrow."""

LEAVING_LIFETIME_S = 30.0
"""Seconds for which a target's own word that it is leaving counts; then one request asks again."""

VERDICTS_AT_ONCE = 16
LEAVING_AT_ONCE = 32


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A target said ``age`` seconds ago that it takes no new work."""

    target_id: str
    age: float


@dataclass(frozen=True, slots=True)
class News:
    """What rides on a probe or its reply, beside the members and object versions."""

    loads: tuple[LoadReport, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class BorrowWanted:
    """Ask this entry for a part of the region's limit."""

    entry_id: str
    resource: str
    amount: int
    transfer_id: str
    lifetime: float
    asked_at: float


class Exchange:
    """The core's side of the exchange between entries."""

    def __init__(
        self, me: str, incarnation: str, placement: Placement, quarantine: Quarantine
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._placement = placement
        self._quarantine = quarantine
        self._leaving_since_by_id: dict[str, float] = {}
        self._transfers = 0
        self._asked_at = float("-inf")

    def news(self, now: float) -> News:
        """Return what to tell a peer now, bounded in size."""
        leaving = sorted(self._leaving_since_by_id.items(), key=lambda item: -item[1])
        return News(
            loads=tuple(self._placement.load_reports(now)),
            verdicts=tuple(self._quarantine.verdicts(now)[:VERDICTS_AT_ONCE]),
            leaving=tuple(
                LeavingNotice(target_id, now - since)
                for target_id, since in leaving[:LEAVING_AT_ONCE]
                if now - since < LEAVING_LIFETIME_S
            ),
        )

    def heard(self, news: News, now: float) -> None:
        """Learn from a peer."""
        for load in news.loads:
            if load.entry_id != self._me:
                self._placement.loads.record_report(load, now)
        for verdict in news.verdicts:
            self._quarantine.merge_verdict(verdict, now)
        for notice in news.leaving:
            self.target_leaving(notice.target_id, now - notice.age, now)

    def target_leaving(self, target_id: str, since: float, now: float) -> None:
        """Give a target no new work, whichever way it became known that it is leaving.

        The word of a target ages: its peers hand it on with its age, so that it can't go round
        among them for ever after the target has come back.
        """
        known = self._leaving_since_by_id.get(target_id, float("-inf"))
        if since <= known or now - since >= LEAVING_LIFETIME_S:
            return
        self._leaving_since_by_id[target_id] = since
        self._placement.mark_leaving(target_id, since + LEAVING_LIFETIME_S)
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        for target_id, since in list(self._leaving_since_by_id.items()):
            if now - since >= LEAVING_LIFETIME_S:
                del self._leaving_since_by_id[target_id]

    def borrow_wanted(
        self, view: MemberView, rng: random.Random, now: float
    ) -> BorrowWanted | None:
        """Return whom to ask for a part of the region's limit; None if there is no need."""
        account = self._placement.account
        waiting = self._placement.total_queue_length()
        needed = waiting > 0 and account.free(now, now) == 0
        if not needed or now - self._asked_at < BORROW_INTERVAL_S:
            return None
        peers = [e for e in view.serving(self._placement.region) if e != self._me]
        if not peers:
            return None
        self._asked_at = now
        self._transfers += 1
        return BorrowWanted(
            entry_id=rng.choice(peers),
            resource=account.resource,
            amount=waiting,
            transfer_id=f"{self._incarnation}-{self._transfers}",
            lifetime=LOAN_LIFETIME_S,
            asked_at=now,
        )

    def lend(
        self, resource: str, transfer_id: str, amount: int, lifetime: float, now: float
    ) -> int:
        """Grant a peer a part of what we hold; return how much."""
        account = self._placement.account
        if resource != account.resource:
            return 0
        return account.lend(transfer_id, amount, lifetime, now)

    def borrowed(self, wanted: BorrowWanted, granted: int) -> None:
        """Add what a peer granted."""
        if granted > 0:
            self._placement.account.add_borrowed(
                wanted.transfer_id, granted, wanted.asked_at, wanted.lifetime
            )

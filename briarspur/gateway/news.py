"""Sends and receives load news, one datagram each."""

import logging
from collections.abc import Callable, Iterable
from typing import Any, cast

from google.protobuf.message import DecodeError
from twisted.internet.protocol import DatagramProtocol

from briarspur import logs
from briarspur.gateway import gateway_pb2 as pb
from briarspur.gateway.loadview import News, SeenEntries
from briarspur.gateway.newsdelay import NewsDelays, sending_clock
from briarspur.gateway.replica import FOLLOWED, Kind
from briarspur.gateway.servernotice import NO_LIMIT, ReportedLimit, ReportedNotices

__all__ = ["NewsPort", "news_from_wire", "news_to_wire"]

MS = 1_000
LONGEST_AGE_S = 3_600.0
LONGEST_AGE_MS = 3_600_000
"""An age beyond an hour is told as an hour."""
AGE_STEP = 0.02
MOST_AGE_STEPS = 255
"""Seconds in a step of the ages that take one byte each, and the most steps: 5.1 s."""
MILLI = 1_000
LIFTED = 0
"""Limits of servers in thousandths of a request per second, and what stands for none."""


class NewsPort(DatagramProtocol):
    """The datagram port; datagrams fit here better than calls, since a late one is worthless.

    Parameters
    ----------
    on_news : callable
        Takes the news of another entry; the age of its knowledge counts the wait on the way.
    """

    def __init__(
        self, on_news: Callable[[News], None], clock: Callable[[], float] = sending_clock
    ) -> None:
        self._on_news = on_news
        self._clock = clock
        self.delays = NewsDelays()
        self.malformed = 0

    def send(self, news: News, addresses: list[tuple[str, int]]) -> None:
        """Send news to some entries."""
        transport = cast(Any, self.transport)
        if transport is None:
            return
        data = news_to_wire(news, self._clock())
        for address in addresses:
            try:
                transport.write(data, address)
            except OSError as error:
                logs.event("news-not-sent", logging.DEBUG, to=address[0], error=repr(error))

    def datagramReceived(self, datagram: bytes, addr: object) -> None:  # noqa: N802
        """Take a datagram."""
        try:
            news, sent_at = news_from_wire(datagram)
        except (DecodeError, ValueError) as error:
            self.malformed += 1
            logs.event("news-malformed", logging.WARNING, sender=str(addr), error=str(error))
            return
        delay = 0.0
        if sent_at > 0.0:
            delay = self.delays.delay(news.entry_id, news.started, sent_at, self._clock())
        self._on_news(news.delayed(delay))


def news_to_wire(news: News, sent_at: float) -> bytes:
    """Return the wire form of news that are sent at a moment of the sender's clock, in seconds."""
    message = pb.LoadNews(
        entry_id=news.entry_id,
        started=news.started,
        sequence=news.sequence,
        leaving=news.leaving,
        targets=list(news.counts_by_number.keys()),
        counts=list(news.counts_by_number.values()),
        warmed_targets=[number for number, _ in news.warmed],
        warmed_keys=[key for _, key in news.warmed],
        revisions=[news.revisions.get(kind, 0) for kind in FOLLOWED],
        store_age_ms=min(LONGEST_AGE_MS, round(min(news.store_age, LONGEST_AGE_S) * MS)),
        group=news.group,
        sent_ms=round(sent_at * MS),
        seen=news.seen.numbers,
        seen_ages=_ages_to_wire(news.seen.ages),
        leaving_seen=sorted(news.seen.leaving.intersection(news.seen.numbers)),
        part=news.part,
        parts=news.parts,
        included=list(news.included.keys()),
        included_sequences=list(news.included.values()),
        limited=[limit.number for limit in news.notices.limits],
        limits_milli=[_limit_to_wire(limit.per_s) for limit in news.notices.limits],
        limit_ages=_ages_to_wire(limit.age for limit in news.notices.limits),
        limits_held=_ages_to_wire(limit.held for limit in news.notices.limits),
        limit_hops=bytes(limit.hops for limit in news.notices.limits),
        leaving_targets=news.notices.leaving,
    )
    return message.SerializeToString()


def news_from_wire(data: bytes) -> tuple[News, float]:
    """Return the news of a datagram, and when they were sent by the sender's clock, in seconds.

    The moment is 0 if the sender is of a version that does not tell it.

    Raises
    ------
    DecodeError, ValueError
        It is malformed.
    """
    message = pb.LoadNews.FromString(data)
    if not message.entry_id:
        raise ValueError("no sender")
    parts = max(1, message.parts)
    if message.part >= parts:
        raise ValueError(f"part {message.part} of {parts}")
    if len(message.seen) != len(message.seen_ages):
        raise ValueError(f"{len(message.seen)} entries seen, {len(message.seen_ages)} ages")
    limits = zip(
        message.limited,
        message.limits_milli,
        message.limit_ages,
        message.limits_held,
        message.limit_hops,
        strict=True,
    )
    news = News(
        entry_id=message.entry_id,
        started=message.started,
        sequence=message.sequence,
        leaving=message.leaving,
        counts_by_number=dict(zip(message.targets, message.counts, strict=True)),
        warmed=tuple(zip(message.warmed_targets, message.warmed_keys, strict=True)),
        revisions=dict(zip(Kind, message.revisions, strict=False)),
        store_age=message.store_age_ms / MS,
        group=message.group,
        part=message.part,
        parts=parts,
        included=dict(zip(message.included, message.included_sequences, strict=True)),
        seen=SeenEntries(
            tuple(message.seen),
            tuple(age * AGE_STEP for age in message.seen_ages),
            frozenset(message.leaving_seen),
        ),
        notices=ReportedNotices(
            tuple(
                ReportedLimit(
                    number, _limit_from_wire(milli), age * AGE_STEP, held * AGE_STEP, hops
                )
                for number, milli, age, held, hops in limits
            ),
            tuple(message.leaving_targets),
        ),
    )
    return news, message.sent_ms / MS


def _ages_to_wire(ages: Iterable[float]) -> bytes:
    return bytes(min(MOST_AGE_STEPS, round(age / AGE_STEP)) for age in ages)


def _limit_to_wire(per_s: float) -> int:
    return LIFTED if per_s == NO_LIMIT else max(LIFTED + 1, round(per_s * MILLI))


def _limit_from_wire(milli: int) -> float:
    return NO_LIMIT if milli == LIFTED else milli / MILLI

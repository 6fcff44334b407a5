"""Sends and receives load news, one message per datagram."""

import logging
from collections.abc import Callable, Iterable
from typing import Any, cast

from google.protobuf.message import DecodeError
from twisted.internet.protocol import DatagramProtocol

from briarspur import logs
from briarspur.coord.era import era_of, number_of, revision_in_era
from briarspur.gateway import gateway_pb2 as pb
from briarspur.gateway.loadview import News, SeenEntries
from briarspur.gateway.loss import Loss, LossState
from briarspur.gateway.newsdelay import NewsDelays, boottime_clock
from briarspur.gateway.replica import FOLLOWED, REPLICATED, Kind
from briarspur.gateway.servernotice import NO_LIMIT, ReportedLimit, ReportedNotices

__all__ = ["NewsPort", "news_from_wire", "news_to_wire"]

MS_PER_S = 1_000
MAX_AGE_S = 3_600.0
MAX_AGE_MS = 3_600_000
"""Ages above an hour are sent as an hour."""
AGE_STEP_S = 0.02
MAX_AGE_STEPS = 255
"""Some ages are sent as a number of steps in one byte, so they are at most 5.1 s."""
MILLI_PER_UNIT = 1_000
NO_LIMIT_MILLI = 0
"""Limits of servers are sent in thousandths of a request per second; this value means no limit."""


class NewsPort(DatagramProtocol):
    """The UDP port for news; datagrams fit better than calls, since a late message is worthless.

    Parameters
    ----------
    on_news : callable
        Called with the news of another entry, whose ages include the delay in transit.
    """

    def __init__(
        self, on_news: Callable[[News], None], clock: Callable[[], float] = boottime_clock
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
        """Handle a datagram, as :class:`DatagramProtocol`."""
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
    """Encode news; ``sent_at`` is the time on the sender's clock, in seconds."""
    kinds = REPLICATED if Kind.RESERVATIONS in news.revisions else FOLLOWED
    revisions = [news.revisions.get(kind, 0) for kind in kinds]
    eras = [era_of(revision) for revision in revisions]
    message = pb.LoadNews(
        entry_id=news.entry_id,
        started=news.started,
        sequence=news.sequence,
        leaving=news.leaving,
        targets=list(news.counts_by_number.keys()),
        counts=list(news.counts_by_number.values()),
        warmed_targets=[number for number, _ in news.warmed],
        warmed_keys=[key for _, key in news.warmed],
        revisions=[number_of(revision) for revision in revisions],
        eras=eras if any(eras) else (),
        store_age_ms=min(MAX_AGE_MS, round(min(news.store_age, MAX_AGE_S) * MS_PER_S)),
        group=news.group,
        sent_ms=round(sent_at * MS_PER_S),
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
        lost_contents=[loss.content for loss in news.notices.losses],
        lost_targets=[loss.target for loss in news.notices.losses],
        lost_callers=[loss.caller for loss in news.notices.losses],
        lost_ages_ms=[round(loss.age * MS_PER_S) for loss in news.notices.losses],
        lost_states=bytes(loss.state for loss in news.notices.losses),
        store_era=news.store_era,
        cut_off=news.cut_off,
        cut_off_seen=sorted(news.seen.cut_off.intersection(news.seen.numbers)),
    )
    return message.SerializeToString()


def news_from_wire(data: bytes) -> tuple[News, float]:
    """Decode a datagram; return the news and their time on the sender's clock, in seconds.

    The time is 0 if the sender's version does not send it.

    Raises
    ------
    DecodeError, ValueError
        The datagram is malformed.
    """
    message = pb.LoadNews.FromString(data)
    if not message.entry_id:
        raise ValueError("no sender")
    parts = max(1, message.parts)
    if message.part >= parts:
        raise ValueError(f"part {message.part} of {parts}")
    if len(message.seen) != len(message.seen_ages):
        raise ValueError(f"{len(message.seen)} entries seen, {len(message.seen_ages)} ages")
    eras = message.eras or [0] * len(message.revisions)
    revisions = [
        revision_in_era(era, number) for era, number in zip(eras, message.revisions, strict=True)
    ]
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
        revisions=dict(zip(REPLICATED, revisions, strict=False)),
        store_age=message.store_age_ms / MS_PER_S,
        group=message.group,
        part=message.part,
        parts=parts,
        included=dict(zip(message.included, message.included_sequences, strict=True)),
        seen=SeenEntries(
            tuple(message.seen),
            tuple(age * AGE_STEP_S for age in message.seen_ages),
            frozenset(message.leaving_seen),
            frozenset(message.cut_off_seen),
        ),
        notices=ReportedNotices(
            tuple(
                ReportedLimit(
                    number, _limit_from_wire(milli), age * AGE_STEP_S, held * AGE_STEP_S, hops
                )
                for number, milli, age, held, hops in limits
            ),
            tuple(message.leaving_targets),
            _losses_from_wire(message),
        ),
        store_era=message.store_era,
        cut_off=message.cut_off,
    )
    return news, message.sent_ms / MS_PER_S


def _losses_from_wire(message: pb.LoadNews) -> tuple[Loss, ...]:
    losses = zip(
        message.lost_contents,
        message.lost_targets,
        message.lost_callers,
        message.lost_ages_ms,
        message.lost_states,
        strict=True,
    )
    return tuple(
        Loss(content, target, caller, age / MS_PER_S, LossState(state))
        for content, target, caller, age, state in losses
    )


def _ages_to_wire(ages: Iterable[float]) -> bytes:
    return bytes(min(MAX_AGE_STEPS, round(age / AGE_STEP_S)) for age in ages)


def _limit_to_wire(per_s: float) -> int:
    return (
        NO_LIMIT_MILLI
        if per_s == NO_LIMIT
        else max(NO_LIMIT_MILLI + 1, round(per_s * MILLI_PER_UNIT))
    )


def _limit_from_wire(milli: int) -> float:
    return NO_LIMIT if milli == NO_LIMIT_MILLI else milli / MILLI_PER_UNIT

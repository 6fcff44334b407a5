"""One gateway process: its parts put together."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, cast

from briarspur import logs
from briarspur.coord.address import Address
from briarspur.gateway.applier import ChangeApplier
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.codec import Codec
from briarspur.gateway.configuration import Configuration
from briarspur.gateway.dialect import Dialect
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.entryrecords import EntryRecords
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.following import Following
from briarspur.gateway.front import Front, FrontRequest
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.loadview import News
from briarspur.gateway.metricspage import metrics_text
from briarspur.gateway.news import NewsPort
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.pages import Page, PageFactory
from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.pull import PullClient, PullServer
from briarspur.gateway.readtimes import read_times
from briarspur.gateway.replica import FOLLOWED, ChangeSource, Kind, Replica, StoredChange
from briarspur.gateway.requestlog import RequestLog
from briarspur.gateway.sending import IncomingRequest, Services
from briarspur.gateway.settings import BoundSettings, GatewaySettings
from briarspur.gateway.steering import Steering
from briarspur.gateway.sync import Sync
from briarspur.gateway.warmthkeeper import WarmthKeeper
from briarspur.gateway.work import Bounds, Refused
from briarspur.peerchannels import PeerChannels
from briarspur.refusal import Refusal

__all__ = ["Gateway"]

BACKLOG = 1_024
MOST_CHANNELS = 32
CHANNEL_IDLE = 2.0
"""Connections to other entries kept at most, and the seconds for which an unused one is. One may
die without a word, and a pull over it hangs for 1 s; a new one costs 0.5 ms of processor time."""
RESERVED_DESCRIPTORS = 300
CALLER_SHARE = 0.6
"""Share of the descriptors that callers' connections may take."""
MB = 1_048_576
TICK = 0.25
LOOKUP_TTL = 2.0
"""Seconds for which callers may keep a look-up; some keep it three times as long, and an entry that
leaves serves on while they do."""
LEAVE_LISTENING = 3.0
"""Seconds for which a leaving entry still takes connections of callers with old look-ups."""
LEAVE_MARGIN = 0.95
"""Seconds before the platform kills the process within which it has ended by itself. On 0.43 of a
core under load the end of the interpreter alone took over half a second."""
METRICS_PATH = b"/metrics"


class Gateway:
    """Serves callers until it is told to stop."""

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, source: ObjectSource, codec: Codec
    ) -> None:
        from twisted.internet import reactor

        self._reactor = cast(Any, reactor)
        self.settings = settings
        self._dialect = dialect
        self._source = source
        self._codec = codec
        self._started = time.time_ns() // 1_000_000
        self._rng = random.Random(f"{settings.entry_id}/{self._started}")
        self._channels = PeerChannels(MOST_CHANNELS, CHANNEL_IDLE)
        self.me = self._own_record()
        self.fleet = Fleet(self.me)
        self.steering = Steering(
            settings.entry_id,
            settings.zone,
            settings.region,
            settings.zone_regions,
            _bounds(settings.bounds),
        )
        self.steering.quotas.started = self._reactor.seconds()
        self.log = RequestLog(self._reactor.seconds, lambda: self.following.confirmed_age())
        self.pool = ConnectionPool(self._reactor, settings.host)
        connections = int((settings.descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE)
        self.front = Front(self._reactor, self, settings.memory_mb * MB, connections)
        self._services = Services(self.steering, self.pool, self._reactor, dialect, self.log)
        availability = StoreAvailability()
        self._read_times = read_times(settings.bounds.in_force_s)
        self.applier = ChangeApplier(
            self.steering,
            self.fleet,
            codec,
            self._reactor.seconds,
            availability,
            lambda: self.following.confirmed_age(),
            self._configured,
        )
        self.news_port = NewsPort(self._heard)
        self.gossip = Gossip(
            self.me,
            self.fleet,
            self.steering.loads,
            self.news_port,
            self._counts,
            lambda: self.following.significant_revisions(),
            lambda: self.following.store_age(),
            self.steering.uses,
            self.steering.quotas.worth_telling,
            self.steering,
        )
        self.following = Following(
            self.gossip,
            PullClient(self._channels),
            self._reactor.seconds,
            self._rng,
            self._peer_address,
            self._seeds(),
            availability,
            lambda: self.gossip.advertise(self._reactor.seconds()),
            self._read_times,
        )
        self.syncs = {kind: self._make_sync(kind) for kind in FOLLOWED}
        self.following.syncs = self.syncs
        self.steering.authorization.knowledge_age = self.following.confirmed_age
        self._warmth = WarmthKeeper(
            source,
            self.steering.loads,
            lambda: self.steering.targets.by_number.values(),
            lambda: self.entry_ids[:1] == [self.me.entry_id] and not self.leaving,
            self._rng,
        )
        self._records = EntryRecords(
            source,
            codec,
            self.fleet,
            lambda: self.gossip.groups.is_reader,
            self.syncs[Kind.ENTRIES].replica,
            self._reactor.seconds,
            self._rng,
        )
        self._pull_server = PullServer(
            lambda kind: self.syncs[kind].replica, self.following.store_age
        )
        self.open: set[Exchange] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._ports: list[Any] = []
        self.entry_ids: list[str] = []
        self.leaving = False

    # Life

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        pages = self._pages()
        self._listen(self.settings.caller_address, self.front.factory)
        for address in {self.settings.ready_address, self.settings.lookup_address}:
            if address and address != self.settings.caller_address:
                self._listen(address, PageFactory(pages))
        if self.settings.metrics_port:
            address = f"{self.settings.host}:{self.settings.metrics_port}"
            self._listen(address, PageFactory(pages))
        if self.me.news_port:
            self._ports.append(
                self._reactor.listenUDP(self.me.news_port, self.news_port, self.settings.host)
            )
        for sync in self.syncs.values():
            self._tasks.append(asyncio.ensure_future(sync.run()))
        self._tasks.append(asyncio.ensure_future(self._warmth.run()))
        self._tasks.append(asyncio.ensure_future(self._records.write_own()))
        self._tasks.append(asyncio.ensure_future(self._records.delete_expired()))
        if self.me.peer_port:
            await self._pull_server.start(self.settings.host, self.me.peer_port)
        self._reactor.callLater(self.gossip.period(), self._send_news)
        self._reactor.callLater(TICK, self._tick)

    async def stop(self) -> None:
        """Leave look-ups, serve on for callers that still know this entry, and end."""
        began = self._reactor.seconds()
        end = began + self.settings.bounds.grace_s - LEAVE_MARGIN
        self.leaving = self.fleet.leaving = True
        self.gossip.advertise(began)
        self.front.leave()
        logs.event("stop-leaving", open_requests=len(self.open))
        while self._reactor.seconds() < began + LEAVE_LISTENING:
            await asyncio.sleep(TICK)
        for port in self._ports[:1]:
            port.stopListening()
        self.front.leave()
        logs.event("stop-finishing", open_requests=len(self.open))
        while self.open and self._reactor.seconds() < end:
            await asyncio.sleep(0.02)
        # The last answers are on their way out of the sockets.
        await asyncio.sleep(0.1)
        for task in self._tasks:
            task.cancel()
        self.following.close()
        self._pull_server.close()
        self._channels.close()

    def reload(self) -> None:
        """Note that the settings file may have changed; connections and requests go on."""
        logs.event("reloaded", entry=self.settings.entry_id)

    # Requests

    def take(self, request: IncomingRequest, caller: FrontRequest) -> Exchange | None:
        """Carry a request; None if it was answered at once."""
        now = self._reactor.seconds()
        arrival = self._dialect.arrival(request.uri, request.headers, len(request.body))
        self.log.arrived()
        work = self.steering.begin(arrival, now)
        if isinstance(work, Refused):
            version = self.steering.version
            self.log.refused(arrival.request_id, work, arrival.host, arrival.path, version)
            caller.refuse(work)
            return None
        exchange = Exchange(self._services, request, work, caller, self._ended)
        self.open.add(exchange)
        exchange.start()
        return None if exchange.done else exchange

    def refused_unread(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it came whole."""
        self.log.finals[refusal.code.name] += 1
        logs.event("refused", code=int(refusal.code), code_name=refusal.code.name)

    def is_ready(self) -> bool:
        """Return whether callers may come."""
        return (
            not self.leaving
            and self.steering.configuration is not None
            and bool(self.steering.targets.by_service)
        )

    def _ended(self, exchange: Exchange) -> None:
        self.open.discard(exchange)

    # What is in force

    def _configured(self, configuration: Configuration) -> None:
        self.front.limits_changed(configuration.limits)

    def _changed(self, kind: Kind, changes: Sequence[StoredChange], source: ChangeSource) -> None:
        self.applier.apply(kind, changes, source)

    def _make_sync(self, kind: Kind) -> Sync:
        return Sync(
            self._source,
            Replica(kind, lambda value: self._codec.essence(kind, value)),
            self._read_times.paces[kind],
            self._rng,
            self.following.read_delay,
            self._changed,
            self.following.record_call,
            self.following.record_read,
            self._reactor.seconds,
        )

    # Other entries

    def _heard(self, news: News) -> None:
        if self.gossip.received(news, self._reactor.seconds()):
            self.following.received(news)

    def _send_news(self) -> None:
        self._reactor.callLater(self.gossip.period(), self._send_news)
        self.gossip.tick(self._reactor.seconds())

    def _peer_address(self, entry_id: str) -> Address | None:
        record = self.fleet.record(entry_id)
        if record is None or not record.peer_port:
            return None
        return Address(record.host, record.peer_port)

    def _seeds(self) -> list[Address]:
        own = self.settings.peer_address
        texts = [text for text in self.settings.seeds.split(",") if text and text != own]
        return [Address(text.rpartition(":")[0], _port(text)) for text in texts]

    def _counts(self) -> Counter[int]:
        return Counter(
            {
                number: target.in_flight
                for number, target in self.steering.targets.by_number.items()
                if target.in_flight
            }
        )

    def _tick(self) -> None:
        self._reactor.callLater(TICK, self._tick)
        now = self._reactor.seconds()
        self.steering.loads.expire(now)
        self.applier.tick()
        self.pool.sweep()
        self._channels.close_idle()
        self.following.tick()
        self.gossip.members_changed(now)
        quotas = self.steering.quotas
        if now - quotas.started < quotas.window:
            quotas.elder_heard = self.fleet.has_older_entry(quotas.window, now)
        self.steering.fleet_heard(self.fleet.seen_size(now))
        self.steering.limits.forget(now)
        entry_ids = self.fleet.entry_ids(now)
        if entry_ids != self.entry_ids:
            joined, lost = set(entry_ids) - set(self.entry_ids), set(self.entry_ids) - set(
                entry_ids
            )
            self.entry_ids = entry_ids
            self.steering.entries_changed(entry_ids)
            logs.event(
                "entries-changed",
                live=len(entry_ids),
                joined=",".join(sorted(joined)) or None,
                lost=",".join(sorted(lost)) or None,
            )

    # Pages

    def _pages(self) -> dict[bytes, Callable[[bytes], Page]]:
        return {
            METRICS_PATH: self._metrics_page,
            self._codec.ready_path: self._ready_page,
            self._codec.lookup_path: self._lookup_page,
        }

    def _metrics_page(self, query: bytes) -> Page:
        return Page(200, metrics_text(self), b"text/plain; version=0.0.4")

    def _ready_page(self, query: bytes) -> Page:
        return Page(200 if self.is_ready() else 503)

    def _lookup_page(self, query: bytes) -> Page:
        region, zone = self._codec.lookup_place(query)
        entries = self.fleet.for_caller(region or self.me.region, zone, self._reactor.seconds())
        ttl = min(LOOKUP_TTL, self.settings.bounds.lookup_ttl_s)
        return Page(200, self._codec.lookup_body(entries, ttl))

    # Parts

    def _listen(self, address: str, factory: Any) -> None:
        host, _, port = address.rpartition(":")
        self._ports.append(self._reactor.listenTCP(int(port), factory, BACKLOG, host))

    def _own_record(self) -> EntryRecord:
        settings = self.settings
        first_port = settings.news_ports.split(",")[0]
        return EntryRecord(
            entry_id=settings.entry_id,
            started=self._started,
            host=settings.host,
            zone=settings.zone,
            region=settings.region,
            caller_port=_port(settings.caller_address),
            news_port=int(first_port) if first_port else 0,
            peer_port=_port(settings.peer_address),
            processor=settings.processor_share * settings.cores,
            link_mbps=settings.link_mbps,
        )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2]) if address else 0


def _bounds(settings: BoundSettings) -> Bounds:
    return Bounds(
        retry_ratio=settings.retry_ratio,
        retry_window=settings.retry_window_s,
        retry_slack=settings.retry_slack,
        configuration_s=settings.configuration_s,
        revoke_s=settings.revoke_after_s,
        quota_window=settings.quota_window_s,
        quota_overage=settings.quota_overage,
        quota_slack=settings.quota_slack,
    )

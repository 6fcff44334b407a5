"""The gateway process: creates and connects its components."""

import asyncio
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, cast

from briarspur import logs
from briarspur.coord.address import Address
from briarspur.gateway.applier import ChangeApplier
from briarspur.gateway.availability import StoreAvailability
from briarspur.gateway.codec import Codec
from briarspur.gateway.configuration import Configuration
from briarspur.gateway.crashchecks import CrashChecks
from briarspur.gateway.dialect import Dialect
from briarspur.gateway.entryrecord import EntryRecord
from briarspur.gateway.entryrecords import EntryRecords
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.fleet import Fleet
from briarspur.gateway.following import Following
from briarspur.gateway.forwarding import Forwarding
from briarspur.gateway.frontend import Frontend, FrontendRequest
from briarspur.gateway.gossip import Gossip
from briarspur.gateway.loadview import News
from briarspur.gateway.metricspage import metrics_text
from briarspur.gateway.news import NewsPort
from briarspur.gateway.objectsource import ObjectSource
from briarspur.gateway.pages import Page, PageFactory
from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.processstart import start_duration
from briarspur.gateway.pull import PullClient, PullServer
from briarspur.gateway.reachprobes import ReachProbes
from briarspur.gateway.readtimes import read_times
from briarspur.gateway.replica import (
    FOLLOWED,
    REPLICATED,
    ChangeSource,
    Kind,
    Replica,
    StoredChange,
)
from briarspur.gateway.requestlog import RequestLog
from briarspur.gateway.reservationkeeper import ReservationKeeper
from briarspur.gateway.services import IncomingRequest, Services
from briarspur.gateway.settings import BoundSettings, GatewaySettings
from briarspur.gateway.shutdown import Shutdown
from briarspur.gateway.steering import Steering
from briarspur.gateway.suspects import REGISTRATION_LAPSE_S
from briarspur.gateway.suspensionkeeper import SuspensionKeeper
from briarspur.gateway.sync import Sync
from briarspur.gateway.warmthkeeper import WarmthKeeper
from briarspur.gateway.work import Arrival, Bounds, Refused
from briarspur.peerchannels import PeerChannels
from briarspur.refusal import Refusal

__all__ = ["Gateway"]

LISTEN_BACKLOG = 1_024
MAX_PEER_CHANNELS = 32
PEER_CHANNEL_IDLE_S = 2.0
"""Idle connections to other entries are closed after this time: one may be lost silently, and a
pull over it hangs for 1 s, whereas a new one costs 0.5 ms of processor time."""
RESERVED_DESCRIPTORS = 300
CALLER_DESCRIPTOR_SHARE = 0.6
"""Share of the file descriptors available to connections of callers."""
BYTES_PER_MB = 1_048_576
ADDED_HEADER_BYTES = 1_024
"""Room for the headers that entries add to requests that they pass on."""
MS_PER_S = 1_000.0
TICK_S = 0.25
MAX_LOOKUP_TTL_S = 2.0
"""Time for which callers may cache a look-up. Some cache it three times as long, so a leaving entry
continues to serve them."""
CUT_DETECTION_S = 5.0
"""Time for which requests may have failed before the entry detects that it reaches no server."""
METRICS_PATH = b"/metrics"


class ForwardedRequests:
    """Handles the requests that other entries pass on; implements ``RequestHandler``."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def handle(self, request: IncomingRequest, caller: FrontendRequest) -> Exchange | None:
        """Start the exchange of a request and return it, or None if already answered."""
        return self._gateway.handle_forwarded(request, caller)

    def refused_unread(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was received completely."""
        self._gateway.refused_unread(refusal)


class Gateway:
    """Serves callers until it is stopped."""

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, source: ObjectSource, codec: Codec
    ) -> None:
        from twisted.internet import reactor

        self._reactor = cast(Any, reactor)
        self.settings = settings
        self._dialect = dialect
        self._source = source
        self._codec = codec
        starting_s = start_duration()
        self._started = round((time.time() - starting_s) * MS_PER_S)
        self._rng = random.Random(f"{settings.entry_id}/{self._started}")
        self._channels = PeerChannels(MAX_PEER_CHANNELS, PEER_CHANNEL_IDLE_S)
        self.own_record = self._make_own_record()
        self.fleet = Fleet(self.own_record)
        self.steering = Steering(
            settings.entry_id,
            settings.zone,
            settings.region,
            settings.zone_regions,
            _bounds(settings.bounds),
        )
        self.steering.retry_budgets.recorded_at = math.inf
        self.steering.quotas.started = self._reactor.seconds()
        self.steering.quotas.start_duration = starting_s
        self.log = RequestLog(self._reactor.seconds, lambda: self.following.confirmed_age())
        self.pool = ConnectionPool(self._reactor, settings.host)
        max_connections = int(
            (settings.descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
        )
        self.frontend = Frontend(
            self._reactor, self, settings.memory_mb * BYTES_PER_MB, max_connections
        )
        self.forward_frontend = Frontend(
            self._reactor,
            ForwardedRequests(self),
            settings.memory_mb * BYTES_PER_MB,
            max_connections,
            ADDED_HEADER_BYTES,
        )
        self._services = Services(self.steering, self.pool, self._reactor, dialect, self.log)
        self._availability = StoreAvailability()
        self._read_times = read_times(settings.bounds.in_force_s)
        self._crash_checks = CrashChecks(
            self.steering, self.pool, self._is_registry_current, self._reactor
        )
        self._reach_probes = ReachProbes(
            self.steering.reachability,
            self.steering.targets,
            self.pool,
            self._reactor,
            self._rng,
        )
        self.steering.reachability.on_change = self._reachability_changed
        self.steering.forwarding = Forwarding(
            settings.entry_id, settings.zone, settings.region, self.fleet.helpers
        )
        self.applier = ChangeApplier(
            self.steering,
            self.fleet,
            codec,
            self._reactor.seconds,
            self._availability,
            lambda: self.following.confirmed_age(),
            self._configuration_applied,
        )
        self.news_port = NewsPort(self._news_received)
        self.gossip = Gossip(
            self.own_record,
            self.fleet,
            self.steering.loads,
            self.news_port,
            self._in_flight_counts,
            lambda: self.following.significant_revisions(),
            lambda: self.following.store_age(),
            self.steering.usage_counts,
            self.steering.quotas.worth_reporting,
            self.steering,
            lambda: self.following.store_era,
        )
        self.following = Following(
            self.gossip,
            PullClient(self._channels),
            self._reactor.seconds,
            self._rng,
            self._peer_address,
            self._seed_addresses(),
            self._availability,
            lambda: self.gossip.advertise(self._reactor.seconds()),
            self._read_times,
        )
        followed = REPLICATED if settings.bounds.has_quotas else FOLLOWED
        self.syncs = {kind: self._make_sync(kind) for kind in followed}
        self.following.syncs = self.syncs
        self.steering.authorization.knowledge_age = self.following.confirmed_age
        self._warmth = WarmthKeeper(
            source,
            self.steering.loads,
            lambda: self.steering.targets.by_number.values(),
            self._is_first_entry,
            self._rng,
            lambda: self.following.store_era,
        )
        self._suspensions = SuspensionKeeper(
            source,
            self.steering.suspects,
            self._is_first_entry,
            self._rng,
            lambda: self.following.store_era,
            self._reactor.seconds,
        )
        self._records = EntryRecords(
            source,
            codec,
            self.fleet,
            lambda: self.gossip.groups.is_reader,
            self.syncs[Kind.ENTRIES].replica,
            self.following.confirmed_age,
            self._reactor.seconds,
            self._rng,
        )
        self._reservations = self._make_reservation_keeper()
        self._pull_server = PullServer(
            lambda kind: self.syncs[kind].replica if kind in self.syncs else Replica(kind),
            self.following.store_age,
        )
        self.open_exchanges: set[Exchange] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._request_ports: list[Any] = []
        self._shutdown: Shutdown | None = None
        self.entry_ids: list[str] = []
        self.leaving = False

    # Life cycle

    async def start(self) -> None:
        """Open the listening ports and start following the store."""
        pages = self._pages()
        self._request_ports.append(
            self._listen(self.settings.caller_address, self.frontend.factory)
        )
        for address in {self.settings.ready_address, self.settings.lookup_address}:
            if address and address != self.settings.caller_address:
                self._listen(address, PageFactory(pages))
        if self.settings.metrics_port:
            address = f"{self.settings.host}:{self.settings.metrics_port}"
            self._listen(address, PageFactory(pages))
        if self.own_record.news_port:
            news_port = self.own_record.news_port
            self._reactor.listenUDP(news_port, self.news_port, self.settings.host)
            address = f"{self.settings.host}:{news_port}"
            self._request_ports.append(self._listen(address, self.forward_frontend.factory))
        for sync in self.syncs.values():
            self._tasks.append(asyncio.ensure_future(sync.run()))
        self._tasks.append(asyncio.ensure_future(self._warmth.run()))
        self._tasks.append(asyncio.ensure_future(self._suspensions.run()))
        if self._reservations is not None:
            self._tasks.append(asyncio.ensure_future(self._reservations.run()))
        self._tasks.append(asyncio.ensure_future(self._records.keep_own()))
        self._tasks.append(asyncio.ensure_future(self._records.delete_expired()))
        if self.own_record.peer_port:
            await self._pull_server.start(self.settings.host, self.own_record.peer_port)
        self._reactor.callLater(self.gossip.period(), self._send_news)
        self._reactor.callLater(TICK_S, self._tick)

    async def stop(self) -> None:
        """Withdraw from look-ups, serve the callers that still use this entry, and shut down."""
        self.leaving = self.fleet.leaving = True
        self.gossip.advertise(self._reactor.seconds())
        self._shutdown = Shutdown(
            (self.frontend, self.forward_frontend),
            self.open_exchanges,
            self._reactor.seconds,
            self.settings.bounds.grace_s,
        )
        await self._shutdown.run(self._stop_listening)
        for task in self._tasks:
            task.cancel()
        self.following.close()
        self._pull_server.close()
        self._channels.close()

    def _stop_listening(self) -> None:
        for port in self._request_ports:
            port.stopListening()

    def reload(self) -> None:
        """Log that the settings file may have changed; connections and requests continue."""
        logs.event("reloaded", entry=self.settings.entry_id)

    # Requests

    def handle(self, request: IncomingRequest, caller: FrontendRequest) -> Exchange | None:
        """Start the exchange of a request and return it, or None if already answered."""
        return self._begin(request, caller, is_forwarded=False)

    def handle_forwarded(
        self, request: IncomingRequest, caller: FrontendRequest
    ) -> Exchange | None:
        """Start the exchange of a request that another entry passed on."""
        return self._begin(request, caller, is_forwarded=True)

    def _begin(
        self, request: IncomingRequest, caller: FrontendRequest, is_forwarded: bool
    ) -> Exchange | None:
        now = self._reactor.seconds()
        arrival = self._arrival(request)
        self.log.request_arrived()
        work = self.steering.begin(arrival, now, is_forwarded)
        if isinstance(work, Refused):
            version = self.steering.version
            self.log.request_refused(arrival.request_id, work, arrival.host, arrival.path, version)
            caller.refuse(work)
            return None
        exchange = Exchange(self._services, request, work, caller, self._exchange_ended)
        self.open_exchanges.add(exchange)
        exchange.start()
        return None if exchange.done else exchange

    def _arrival(self, request: IncomingRequest) -> Arrival:
        arrival = self._dialect.arrival(request.uri, request.headers, len(request.body))
        timeout = request.remaining(arrival.timeout)
        if self._shutdown is not None:
            timeout = min(timeout, self._shutdown.remaining())
        return replace(arrival, timeout=timeout, content=request.content(arrival))

    def refused_unread(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was received completely."""
        self.log.final_counts[refusal.code.name] += 1
        logs.event("refused", code=int(refusal.code), code_name=refusal.code.name)

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers."""
        return (
            not self.leaving
            and self.steering.configuration is not None
            and bool(self.steering.targets.by_service)
        )

    def _exchange_ended(self, exchange: Exchange) -> None:
        self.open_exchanges.discard(exchange)

    def _reachability_changed(self, is_cut_off: bool) -> None:
        """Tell the others at once, and pass the open requests on or use the servers again."""
        now = self._reactor.seconds()
        self.fleet.cut_off = is_cut_off
        self.gossip.advertise(now)
        if not is_cut_off:
            self.steering.servers_returned()
            return
        self.steering.suspects.retract_own(now - CUT_DETECTION_S, now)
        for exchange in list(self.open_exchanges):
            exchange.servers_unreachable()

    # Store and configuration

    def _configuration_applied(self, configuration: Configuration) -> None:
        self.frontend.apply_limits(configuration.limits)
        self.forward_frontend.apply_limits(configuration.limits)

    def _store_changed(
        self, kind: Kind, changes: Sequence[StoredChange], source: ChangeSource
    ) -> None:
        self.applier.apply(kind, changes, source)

    def _make_sync(self, kind: Kind) -> Sync:
        return Sync(
            self._source,
            Replica(
                kind,
                lambda value: self._codec.relevant_part(kind, value),
                lambda value: self._codec.write_order(kind, value),
            ),
            self._read_times.paces[kind],
            self._rng,
            self.following.read_delay,
            self._store_changed,
            self.following.record_call,
            self.following.record_read,
            self.following.record_era,
            self._reactor.seconds,
        )

    def _make_reservation_keeper(self) -> ReservationKeeper | None:
        sync = self.syncs.get(Kind.RESERVATIONS)
        if sync is None:
            return None
        return ReservationKeeper(
            self._source,
            self.steering.quotas,
            sync.replica,
            lambda: self.gossip.leads_fleet(self._reactor.seconds()),
            self._reactor.seconds,
            self._rng,
        )

    def _is_first_entry(self) -> bool:
        """Return whether this is the entry that writes the records of the whole fleet."""
        return self.entry_ids[:1] == [self.own_record.entry_id] and not self.leaving

    def _is_registry_current(self) -> bool:
        """Return whether a server that has lapsed is certainly gone from the known ones."""
        now = self._reactor.seconds()
        is_confirmed = self.following.confirmed_age() <= self.settings.bounds.configuration_s
        return is_confirmed and now - self._availability.returned_at > REGISTRATION_LAPSE_S

    # Other entries

    def _news_received(self, news: News) -> None:
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

    def _seed_addresses(self) -> list[Address]:
        own_address = self.settings.peer_address
        addresses = [
            address
            for address in self.settings.seeds.split(",")
            if address and address != own_address
        ]
        return [Address(address.rpartition(":")[0], _port(address)) for address in addresses]

    def _in_flight_counts(self) -> Counter[int]:
        if self.fleet.cut_off:
            # What hangs on the way to the servers is no load there.
            return Counter()
        return Counter(
            {
                number: target.in_flight
                for number, target in self.steering.targets.by_number.items()
                if target.in_flight
            }
        )

    def _tick(self) -> None:
        self._reactor.callLater(TICK_S, self._tick)
        now = self._reactor.seconds()
        self.steering.loads.expire(now)
        self.applier.tick()
        self.pool.close_expired()
        self._channels.close_idle()
        self.following.tick()
        self.gossip.members_changed(now)
        quotas = self.steering.quotas
        if quotas.has_limits:
            own_age = quotas.process_age(now)
            if own_age < quotas.window:
                quotas.knows_older_entry = self.fleet.has_older_entry(quotas.window, now)
            quotas.restarted = self.fleet.restarted_size(quotas.window, own_age, now)
        self.steering.set_live_fleet_size(self.fleet.seen_size(now), now)
        self.steering.limits.forget(now)
        self._crash_checks.tick(now)
        self._reach_probes.tick(now)
        entry_ids = self.fleet.entry_ids(now)
        if entry_ids != self.entry_ids:
            joined, lost = set(entry_ids) - set(self.entry_ids), set(self.entry_ids) - set(
                entry_ids
            )
            self.entry_ids = entry_ids
            self.steering.set_live_entries(entry_ids)
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
        region, zone = self._codec.lookup_location(query)
        entries = self.fleet.for_caller(
            region or self.own_record.region, zone, self._reactor.seconds()
        )
        ttl = min(MAX_LOOKUP_TTL_S, self.settings.bounds.lookup_ttl_s)
        return Page(200, self._codec.lookup_body(entries, ttl))

    # Internals

    def _listen(self, address: str, factory: Any) -> Any:
        host, _, port = address.rpartition(":")
        return self._reactor.listenTCP(int(port), factory, LISTEN_BACKLOG, host)

    def _make_own_record(self) -> EntryRecord:
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

"""Documents and in-process members of a fleet of any size, for ``make capacity``."""

import json
import random
import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

from briarspur.coord.address import Address
from briarspur.coord.members import Member, Probe, Reply
from briarspur.coord.membership import Membership
from briarspur.exchange import News
from briarspur.gossip import Gossip, ObjectVersion, PeerProbe, PeerReply
from briarspur.loads import LoadReport
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import EntryAddress
from briarspur.peerwire import probe_from_wire, probe_to_wire, reply_from_wire, reply_to_wire
from briarspur.propagation import watchers

__all__ = ["HeartbeatCost", "heartbeat_cost", "make_policy", "record_bytes", "make_view"]

HOST = "127.0.0.1"
REGIONS = 11
ZONES = 29
SITES = 490
SERVICES = 4
WARM_UP_PERIODS = 20
PERIODS = 5
NEWS = News(tuple(LoadReport("entry-1", f"service-{n}", 3, 0) for n in range(SERVICES)))
OBJECTS = tuple(ObjectVersion(name, 1_000, b"d" * 32) for name in ("policy", "plan"))


def zone_name(number: int) -> str:
    """Return the name of a zone; zones are assigned to regions round-robin."""
    zone = number % ZONES
    return f"region-{zone % REGIONS}-zone-{zone}"


def make_policy(entries: int, sites: int = SITES, base_port: int = 20_000) -> dict[str, Any]:
    """Return a policy document with the regions, zones and sites of a full-size deployment."""
    regions: dict[str, dict[str, Any]] = {}
    for number in range(ZONES):
        region = regions.setdefault(
            f"region-{number % REGIONS}",
            {"zones": [], "in_flight_limit": 10_000, "link_bytes_per_s": 1_000_000_000},
        )
        region["zones"].append(zone_name(number))
    services = {
        f"service-{n}": {"path": f"/service-{n}", "rules": [{"path": "/"}]} for n in range(SERVICES)
    }
    targets = {
        f"target-{n}": {
            "service": f"service-{n % SERVICES}",
            "zone": zone_name(n),
            "host": HOST,
            "port": base_port + n % 40_000,
        }
        for n in range(sites)
    }
    return {
        "user": "capacity",
        "regions": regions,
        "services": services,
        "targets": targets,
        "entries": {f"entry-{n}": {"zone": zone_name(n)} for n in range(entries)},
        "caps": {k: {"requests_per_window": 10_000} for k in ("planned", "emergency", "return")},
        "blocks": {"default": "region-0"},
    }


def member(number: int) -> Member:
    """Return the member with a number."""
    zone = zone_name(number)
    region = zone.rsplit("-zone-", 1)[0]
    host = f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(f"entry-{number}", f"{number:016x}", region, zone, host, 7001, 7002, 7003)


def make_view(entries: int) -> MemberView:
    """Return a member view in which all entries are live."""
    by_id = {}
    for number in range(entries):
        one = member(number)
        address = EntryAddress(one.member_id, one.host, 7001, 7002, 7003)
        by_id[one.member_id] = ViewedMember(address, one.incarnation, one.region, one.zone)
    return MemberView(by_id)


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """The mean cost of one heartbeat period for one member."""

    micros: float
    bytes_sent: float


def full_membership(number: int, all_members: list[Member]) -> Membership:
    """Return the membership of one entry with the addresses of all others listed."""
    one = Membership(all_members[number], random.Random(number), incarnation_number=1)
    one.set_listed_addresses([m.address for m in all_members], 0.0)
    return one


def heartbeat_cost(size: int) -> HeartbeatCost:
    """Simulate the heartbeats of a fleet, with all messages encoded, and return the mean cost."""
    all_members = [member(number) for number in range(size)]
    members = [full_membership(number, all_members) for number in range(size)]
    facts = [one.snapshot()[0] for one in members]
    for one in members:
        one.apply(facts, 0.0)
    by_address = {one.own_member.address: one for one in members}
    now = 0.0
    for _ in range(WARM_UP_PERIODS):
        now += 1.0
        run_period(members, by_address, now)
    sent, started = 0, time.process_time()
    for _ in range(PERIODS):
        now += 1.0
        sent += run_period(members, by_address, now)
    micros = (time.process_time() - started) / PERIODS / size * 1e6
    return HeartbeatCost(micros, sent / PERIODS / size)


def run_period(members: list[Membership], by_address: dict[Address, Membership], now: float) -> int:
    """Make each member probe once; return the total size of the messages in bytes."""
    sent = 0
    for one in members:
        for probe in one.tick(now):
            other = by_address[probe.address]
            gossip = Gossip(probe.updates, OBJECTS, NEWS)
            peer_probe = PeerProbe(one.own_member.member_id, probe.receiver, probe.number, gossip)
            wire = probe_to_wire(peer_probe)
            data = wire.SerializeToString()
            received = probe_from_wire(type(wire).FromString(data))
            updates = other.on_probe(Probe(received.sender, received.gossip.updates), now)
            reply = PeerReply(
                other.own_member.member_id, probe.number, True, Gossip(updates, OBJECTS, NEWS)
            )
            wire_reply = reply_to_wire(reply)
            reply_data = wire_reply.SerializeToString()
            received_reply = reply_from_wire(type(wire_reply).FromString(reply_data))
            one.on_reply(
                Reply(received_reply.sender, probe.number, True, received_reply.gossip.updates), now
            )
            sent += len(data) + len(reply_data)
    return sent


def record_bytes(size: int) -> int:
    """Return the memory in bytes of the records of a fleet of ``size`` members in one member."""
    all_members = [member(number) for number in range(size)]
    tracemalloc.start()
    one = Membership(member(0), random.Random(0), incarnation_number=1)
    for number in range(1, size):
        other = Membership(member(number), random.Random(0), incarnation_number=1)
        one.apply(other.snapshot(), 0.0)
    one.set_listed_addresses([m.address for m in all_members], 0.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def watching_members(entries: int) -> int:
    """Return the number of store watches: one for each member and object that it watches."""
    zones: dict[str, list[str]] = {}
    for number in range(entries):
        zones.setdefault(zone_name(number), []).append(f"entry-{number}")
    return sum(len(watchers(o.name, zone, 2)) for zone in zones.values() for o in OBJECTS)


def document_bytes(document: dict[str, Any]) -> int:
    """Return the size in bytes of a document in its stored form."""
    return len(json.dumps(document, sort_keys=True, separators=(",", ":")))

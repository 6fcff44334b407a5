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

__all__ = ["HeartbeatCost", "heartbeat_cost", "policy_of", "record_bytes", "view_of"]

HOST = "127.0.0.1"
REGIONS = 11
ZONES = 29
SITES = 490
SERVICES = 4
WARM_PERIODS = 20
PERIODS = 5
NEWS = News(tuple(LoadReport("entry-1", f"service-{n}", 3, 0) for n in range(SERVICES)))
OBJECTS = tuple(ObjectVersion(name, 1_000, b"d" * 32) for name in ("policy", "plan"))


def zone_name(number: int) -> str:
    """Return the name of a zone; zones are dealt to regions in turn."""
    zone = number % ZONES
    return f"region-{zone % REGIONS}-zone-{zone}"


def policy_of(entries: int, sites: int = SITES, base_port: int = 20_000) -> dict[str, Any]:
    """Return a policy document of the regions, zones and sites of the letter."""
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
    """Return a member of the fleet."""
    zone = zone_name(number)
    region = zone.rsplit("-zone-", 1)[0]
    host = f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(f"entry-{number}", f"{number:016x}", region, zone, host, 7001, 7002, 7003)


def view_of(entries: int) -> MemberView:
    """Return a view in which all entries are live."""
    by_id = {}
    for number in range(entries):
        one = member(number)
        address = EntryAddress(one.member_id, one.host, 7001, 7002, 7003)
        by_id[one.member_id] = ViewedMember(address, one.incarnation, one.region, one.zone)
    return MemberView(by_id)


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Cost of heartbeats to one member, for one period."""

    micros: float
    bytes_sent: float


def full_membership(number: int, everyone: list[Member]) -> Membership:
    """Return a member that knows all others."""
    one = Membership(everyone[number], random.Random(number), incarnation_number=1)
    one.set_listed_addresses([m.address for m in everyone], 0.0)
    return one


def heartbeat_cost(size: int) -> HeartbeatCost:
    """Run a fleet in one process, with every message in its wire form, and return its mean cost."""
    everyone = [member(number) for number in range(size)]
    members = [full_membership(number, everyone) for number in range(size)]
    facts = [one.snapshot()[0] for one in members]
    for one in members:
        one.apply(facts, 0.0)
    by_address = {one.own_member.address: one for one in members}
    now = 0.0
    for _ in range(WARM_PERIODS):
        now += 1.0
        one_period(members, by_address, now)
    sent, started = 0, time.process_time()
    for _ in range(PERIODS):
        now += 1.0
        sent += one_period(members, by_address, now)
    micros = (time.process_time() - started) / PERIODS / size * 1e6
    return HeartbeatCost(micros, sent / PERIODS / size)


def one_period(members: list[Membership], by_address: dict[Address, Membership], now: float) -> int:
    """Let each member probe once; return the bytes of all messages."""
    sent = 0
    for one in members:
        for probe in one.tick(now):
            other = by_address[probe.address]
            gossip = Gossip(probe.updates, OBJECTS, NEWS)
            asked = PeerProbe(one.own_member.member_id, probe.receiver, probe.number, gossip)
            wire = probe_to_wire(asked)
            data = wire.SerializeToString()
            came = probe_from_wire(type(wire).FromString(data))
            updates = other.on_probe(Probe(came.sender, came.gossip.updates), now)
            reply = PeerReply(
                other.own_member.member_id, probe.number, True, Gossip(updates, OBJECTS, NEWS)
            )
            back = reply_to_wire(reply)
            answer = back.SerializeToString()
            read = reply_from_wire(type(back).FromString(answer))
            one.on_reply(Reply(read.sender, probe.number, True, read.gossip.updates), now)
            sent += len(data) + len(answer)
    return sent


def record_bytes(size: int) -> int:
    """Return the memory of one member that knows ``size`` others."""
    everyone = [member(number) for number in range(size)]
    tracemalloc.start()
    one = Membership(member(0), random.Random(0), incarnation_number=1)
    for number in range(1, size):
        other = Membership(member(number), random.Random(0), incarnation_number=1)
        one.apply(other.snapshot(), 0.0)
    one.set_listed_addresses([m.address for m in everyone], 0.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def watching_members(entries: int) -> int:
    """Return how many (member, object) pairs hold a watch of the store."""
    zones: dict[str, list[str]] = {}
    for number in range(entries):
        zones.setdefault(zone_name(number), []).append(f"entry-{number}")
    return sum(len(watchers(o.name, zone, 2)) for zone in zones.values() for o in OBJECTS)


def document_bytes(document: dict[str, Any]) -> int:
    """Return the size of a document as it is stored."""
    return len(json.dumps(document, sort_keys=True, separators=(",", ":")))

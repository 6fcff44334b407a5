"""Conversion between the typed messages of entries and their protobuf messages."""

from collections.abc import Iterable

from briarspur import peer_pb2 as pb
from briarspur.coord.members import Member, MemberState, MemberUpdate
from briarspur.coord.quarantine import Verdict
from briarspur.exchange import LeavingNotice, News
from briarspur.gossip import (
    Gossip,
    ObjectCopy,
    ObjectVersion,
    PeerBorrowRequest,
    PeerProbe,
    PeerReply,
)
from briarspur.loads import LoadReport

__all__ = [
    "borrow_from_wire",
    "borrow_to_wire",
    "copy_from_wire",
    "copy_to_wire",
    "probe_from_wire",
    "probe_to_wire",
    "reply_from_wire",
    "reply_to_wire",
    "updates_from_wire",
    "updates_to_wire",
]

MS_PER_S = 1_000


def probe_to_wire(probe: PeerProbe) -> pb.ProbeRequest:
    """Convert a probe to its wire form."""
    return pb.ProbeRequest(
        sender=probe.sender,
        receiver=probe.receiver,
        number=probe.number,
        piggyback=_gossip_to_wire(probe.gossip),
    )


def probe_from_wire(message: pb.ProbeRequest) -> PeerProbe:
    """Convert a probe from its wire form.

    Raises
    ------
    ValueError
        If a field is out of range.
    """
    gossip = _gossip_from_wire(message.piggyback)
    return PeerProbe(message.sender, message.receiver, message.number, gossip)


def reply_to_wire(reply: PeerReply) -> pb.ProbeReply:
    """Convert a reply to its wire form."""
    return pb.ProbeReply(
        sender=reply.sender,
        number=reply.number,
        acknowledged=reply.acknowledged,
        piggyback=_gossip_to_wire(reply.gossip),
    )


def reply_from_wire(message: pb.ProbeReply) -> PeerReply:
    """Convert a reply from its wire form.

    Raises
    ------
    ValueError
        If a field is out of range.
    """
    gossip = _gossip_from_wire(message.piggyback)
    return PeerReply(message.sender, message.number, message.acknowledged, gossip)


def copy_to_wire(copy: ObjectCopy) -> pb.ObjectCopy:
    """Convert an object to its wire form."""
    return pb.ObjectCopy(name=copy.name, version=copy.version, digest=copy.digest, value=copy.value)


def copy_from_wire(message: pb.ObjectCopy) -> ObjectCopy:
    """Convert an object from its wire form."""
    return ObjectCopy(message.name, message.version, message.digest, message.value)


def borrow_to_wire(request: PeerBorrowRequest) -> pb.BorrowRequest:
    """Convert a borrow request to its wire form."""
    return pb.BorrowRequest(
        sender=request.sender,
        resource=request.resource,
        amount=request.amount,
        transfer_id=request.transfer_id,
        lifetime_ms=_to_ms(request.lifetime),
    )


def borrow_from_wire(message: pb.BorrowRequest) -> PeerBorrowRequest:
    """Convert a borrow request from its wire form."""
    return PeerBorrowRequest(
        message.sender,
        message.resource,
        message.amount,
        message.transfer_id,
        message.lifetime_ms / MS_PER_S,
    )


def updates_to_wire(updates: Iterable[MemberUpdate]) -> bytes:
    """Encode updates about members as one value, for a process that has just started."""
    message = pb.Piggyback(members=[_update_to_wire(update) for update in updates])
    return message.SerializeToString()


def updates_from_wire(value: bytes) -> tuple[MemberUpdate, ...]:
    """Decode a value that :func:`updates_to_wire` encoded.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    message = pb.Piggyback()
    try:
        message.ParseFromString(value)
    except Exception as error:
        raise ValueError("not a list of members") from error
    return tuple(_update_from_wire(update) for update in message.members)


def _gossip_to_wire(gossip: Gossip) -> pb.Piggyback:
    news = gossip.news
    return pb.Piggyback(
        members=[_update_to_wire(update) for update in gossip.updates],
        objects=[
            pb.ObjectVersion(name=o.name, version=o.version, digest=o.digest)
            for o in gossip.objects
        ],
        loads=[
            pb.Load(
                entry_id=load.entry_id,
                service=load.service,
                free_slots=load.free_slots,
                queued=load.queued,
            )
            for load in news.loads
        ],
        verdicts=[_verdict_to_wire(verdict) for verdict in news.verdicts],
        leaving=[
            pb.LeavingTarget(target_id=notice.target_id, age_ms=_to_ms(notice.age))
            for notice in news.leaving
        ],
    )


def _gossip_from_wire(message: pb.Piggyback) -> Gossip:
    news = News(
        loads=tuple(
            LoadReport(load.entry_id, load.service, load.free_slots, load.queued)
            for load in message.loads
        ),
        verdicts=tuple(_verdict_from_wire(verdict) for verdict in message.verdicts),
        leaving=tuple(LeavingNotice(n.target_id, n.age_ms / MS_PER_S) for n in message.leaving),
    )
    return Gossip(
        updates=tuple(_update_from_wire(update) for update in message.members),
        objects=tuple(ObjectVersion(o.name, o.version, o.digest) for o in message.objects),
        news=news,
    )


def _update_to_wire(update: MemberUpdate) -> pb.MemberUpdate:
    member = update.member
    return pb.MemberUpdate(
        entry_id=member.member_id,
        incarnation=member.incarnation,
        incarnation_number=update.incarnation_number,
        state=pb.MemberState.Name(int(update.state)),
        region=member.region,
        zone=member.zone,
        host=member.host,
        caller_port=member.caller_port,
        forward_port=member.forward_port,
        peer_port=member.peer_port,
    )


def _update_from_wire(message: pb.MemberUpdate) -> MemberUpdate:
    member = Member(
        message.entry_id,
        message.incarnation,
        message.region,
        message.zone,
        message.host,
        message.caller_port,
        message.forward_port,
        message.peer_port,
    )
    return MemberUpdate(member, message.incarnation_number, MemberState(message.state))


def _verdict_to_wire(verdict: Verdict) -> pb.Verdict:
    return pb.Verdict(
        digest=verdict.digest,
        crashes=verdict.crashes,
        quarantined=verdict.quarantined,
        age_ms=_to_ms(verdict.age),
        lifetime_ms=_to_ms(verdict.lifetime),
    )


def _verdict_from_wire(message: pb.Verdict) -> Verdict:
    return Verdict(
        message.digest,
        message.crashes,
        message.quarantined,
        message.age_ms / MS_PER_S,
        message.lifetime_ms / MS_PER_S,
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))

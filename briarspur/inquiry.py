"""What operators ask the entries: their state, the progress of a drain, a look-up."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

from pydantic import ValidationError

from briarspur.codes import Code
from briarspur.coord.store import ABSENT
from briarspur.errors import PeerError, PeerRefusalError
from briarspur.explain import RegionChoice, region_order
from briarspur.fetch import Endpoint, Fetcher
from briarspur.policy import compile_policy
from briarspur.repository import PolicyRepository
from briarspur.revision import Revision
from briarspur.status import EntryStatus, FleetStatus, summarize

__all__ = ["Directory", "DrainProgress", "LookupReport", "drain_progress", "lookup", "status"]

STATUS_PATH = "/status"
LOOKUP_PATH = "/v1/lookup"
ASKED_AT_ONCE = 20
FINAL_REFUSALS = frozenset({Code.UNKNOWN_SERVICE, Code.BAD_REQUEST})
"""Refusals of a look-up that every entry would give; after others a caller asks the next one."""


class Directory(Protocol):
    """Knows where entries answer HTTP, by a list that may lag."""

    async def endpoints(self) -> list[Endpoint]:
        """Return the entries' endpoints, each named by its entry id."""


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """How far a drain is.

    Attributes
    ----------
    in_flight : int
        Requests at the target, over the entries that answered.
    waiting_for : dict of str to str
        Entries of which it is not known that the drain is in force, with the reason.
    done : bool
        Every entry has the drain in force and none has a request at the target.
    """

    target_id: str
    in_flight: int
    waiting_for: dict[str, str]
    done: bool


@dataclass(frozen=True, slots=True)
class LookupReport:
    """The answer a caller would get, who gave it, and why it is so."""

    asked: str
    answer: dict[str, Any]
    not_answering: dict[str, str]
    reasons: tuple[str, ...]
    refused: bool = False


async def status(
    repository: PolicyRepository, directory: Directory, fetcher: Fetcher
) -> FleetStatus:
    """Ask every entry for its state."""
    current = await repository.current()
    statuses, unreachable = await _ask_entries(directory, fetcher)
    version = current.version if current else ABSENT
    return summarize(version, statuses, unreachable)


async def drain_progress(
    target_id: str,
    version: int,
    directory: Directory,
    fetcher: Fetcher,
    sleep: Callable[[float], Awaitable[None]],
    interval: float,
) -> AsyncIterator[DrainProgress]:
    """Yield how far a drain is until it is done.

    Parameters
    ----------
    version : int
        The revision that says the target is leaving.
    interval : float
        Seconds between two questions to the entries.
    """
    while True:
        statuses, unreachable = await _ask_entries(directory, fetcher)
        progress = _progress(target_id, version, statuses, unreachable)
        yield progress
        if progress.done:
            return
        await sleep(interval)


async def lookup(
    repository: PolicyRepository,
    directory: Directory,
    fetcher: Fetcher,
    service: str,
    client: str | None,
) -> LookupReport:
    """Ask as a caller would: the entries in turn, until one answers.

    Parameters
    ----------
    client : str or None
        Ask on behalf of a caller with this IP number; None asks with one's own.

    Raises
    ------
    PeerError
        No entry answered.
    """
    not_answering: dict[str, str] = {}
    path = f"{LOOKUP_PATH}?service={quote(service, safe='')}"
    if client is not None:
        path += f"&block={quote(client, safe=':')}"
    for endpoint in await directory.endpoints():
        try:
            answer = await fetcher.get_json(endpoint, path)
        except PeerRefusalError as error:
            if error.answer.get("code") not in FINAL_REFUSALS:
                not_answering[endpoint.name] = str(error)
                continue
            refusal = (f"refused: {error}",)
            return LookupReport(endpoint.name, error.answer, not_answering, refusal, refused=True)
        except PeerError as error:
            not_answering[endpoint.name] = str(error)
            continue
        reasons = _reasons(await repository.current(), service, answer)
        return LookupReport(endpoint.name, answer, not_answering, reasons)
    why = "; ".join(not_answering.values()) or "the VM list is empty"
    raise PeerError(f"no entry answered: {why}")


def _reasons(current: Revision | None, service: str, answer: dict[str, Any]) -> tuple[str, ...]:
    """Return why a look-up was answered so, as far as answer and policy tell."""
    if current is None or service not in current.document.services:
        return ("the service is not in the policy in force",)
    policy = compile_policy(current.document, current.version)
    home = str(answer.get("home", policy.default_home))
    reasons = [f"home region of the caller: {home}"]
    if answer.get("policy_version", current.version) != current.version:
        reasons.append(f"the entry has version {answer['policy_version']}, not {current.version}")
    entries = answer.get("entries") or [{}]
    zone = policy.zone_by_entry.get(str(entries[0].get("id")), "")
    region = policy.region_by_zone.get(zone, "unknown")
    reasons.append(f"the first entry, in region {region}, owns a target of the service there")
    for choice in region_order(policy, policy.services_by_name[service], home):
        if choice.region == region:
            break
        reasons.append(f"region {choice.region} was passed over: {_passed_over(choice)}")
    return tuple(reasons)


def _passed_over(choice: RegionChoice) -> str:
    if not choice.target_ids:
        return "no target takes new work there"
    return "none of its entries is serving, as the entry that answered sees them"


async def _ask_entries(
    directory: Directory, fetcher: Fetcher
) -> tuple[list[EntryStatus], dict[str, str]]:
    """Return what the entries said, and by entry id why others said nothing."""
    endpoints = await directory.endpoints()
    gate = asyncio.Semaphore(ASKED_AT_ONCE)

    async def ask(endpoint: Endpoint) -> EntryStatus | PeerError:
        async with gate:
            return await _ask(endpoint, fetcher)

    answers = await asyncio.gather(*(ask(endpoint) for endpoint in endpoints))
    statuses: list[EntryStatus] = []
    unreachable: dict[str, str] = {}
    for endpoint, answer in zip(endpoints, answers, strict=True):
        if isinstance(answer, PeerError):
            unreachable[endpoint.name] = str(answer)
        else:
            statuses.append(answer)
    return statuses, unreachable


async def _ask(endpoint: Endpoint, fetcher: Fetcher) -> EntryStatus | PeerError:
    try:
        return EntryStatus.model_validate(await fetcher.get_json(endpoint, STATUS_PATH))
    except PeerError as error:
        return error
    except ValidationError as error:
        return PeerError(f"{endpoint.name}: {error.error_count()} faults in its status")


def _progress(
    target_id: str, version: int, statuses: Sequence[EntryStatus], unreachable: dict[str, str]
) -> DrainProgress:
    waiting_for = dict(unreachable)
    for entry in statuses:
        if entry.policy_version < version:
            waiting_for[entry.entry_id] = f"version {entry.policy_version} in force"
    in_flight = sum(
        drain.in_flight
        for entry in statuses
        for drain in entry.drains
        if drain.target_id == target_id
    )
    # An entry that is not heard from may still have requests at the target: not done.
    done = bool(statuses) and not waiting_for and in_flight == 0
    return DrainProgress(target_id, in_flight, waiting_for, done)

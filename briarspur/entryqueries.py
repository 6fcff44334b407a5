"""Queries to the entries: their status, the progress of a drain, and a look-up."""

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
MAX_CONCURRENT_QUERIES = 20
FINAL_REFUSALS = frozenset({Code.UNKNOWN_SERVICE, Code.BAD_REQUEST})
"""Look-up refusals that every entry would return; after any other, callers ask the next entry."""


class Directory(Protocol):
    """Lists the entries' HTTP endpoints; the list may be stale."""

    async def endpoints(self) -> list[Endpoint]:
        """Return the entries' endpoints; an endpoint's name is its entry id."""


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """The progress of a drain.

    Attributes
    ----------
    in_flight : int
        Requests in flight at the target, summed over the entries that answered.
    waiting_for : dict of str to str
        Entries that may not have the drain in force, with the reason.
    done : bool
        Whether every entry has the drain in force and none has a request in flight at the target.
    """

    target_id: str
    in_flight: int
    waiting_for: dict[str, str]
    done: bool


@dataclass(frozen=True, slots=True)
class LookupReport:
    """The answer that a caller would get, and the reasons for it.

    Attributes
    ----------
    asked : str
        The entry that answered.
    not_answering : dict of str to str
        The error for each entry that was asked before it.
    """

    asked: str
    answer: dict[str, Any]
    not_answering: dict[str, str]
    reasons: tuple[str, ...]
    refused: bool = False


async def status(
    repository: PolicyRepository, directory: Directory, fetcher: Fetcher
) -> FleetStatus:
    """Ask every entry for its status and return the summary."""
    current = await repository.current()
    statuses, unreachable = await _fetch_statuses(directory, fetcher)
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
    """Yield the progress of a drain until it is done.

    Parameters
    ----------
    version : int
        The policy version in which the target is leaving.
    interval : float
        Seconds between two queries to the entries.
    """
    while True:
        statuses, unreachable = await _fetch_statuses(directory, fetcher)
        progress = _measure_drain(target_id, version, statuses, unreachable)
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
    """Look up a service as a caller would: ask one entry after another until one answers.

    Parameters
    ----------
    client : str or None
        Look up on behalf of a caller with this IP address; None uses this host's address.

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
        reasons = _explain_answer(await repository.current(), service, answer)
        return LookupReport(endpoint.name, answer, not_answering, reasons)
    errors = "; ".join(not_answering.values()) or "the VM list is empty"
    raise PeerError(f"no entry answered: {errors}")


def _explain_answer(
    current: Revision | None, service: str, answer: dict[str, Any]
) -> tuple[str, ...]:
    """Return the reasons for a look-up's answer that follow from the answer and the policy."""
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
        reasons.append(f"region {choice.region} was passed over: {_skip_reason(choice)}")
    return tuple(reasons)


def _skip_reason(choice: RegionChoice) -> str:
    if not choice.target_ids:
        return "no target accepts new work there"
    return "the entry that answered sees none of its entries serving"


async def _fetch_statuses(
    directory: Directory, fetcher: Fetcher
) -> tuple[list[EntryStatus], dict[str, str]]:
    """Return the statuses of the entries that answered, and the other entries' errors by id."""
    endpoints = await directory.endpoints()
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def fetch(endpoint: Endpoint) -> EntryStatus | PeerError:
        async with semaphore:
            return await _fetch_status(endpoint, fetcher)

    answers = await asyncio.gather(*(fetch(endpoint) for endpoint in endpoints))
    statuses: list[EntryStatus] = []
    unreachable: dict[str, str] = {}
    for endpoint, answer in zip(endpoints, answers, strict=True):
        if isinstance(answer, PeerError):
            unreachable[endpoint.name] = str(answer)
        else:
            statuses.append(answer)
    return statuses, unreachable


async def _fetch_status(endpoint: Endpoint, fetcher: Fetcher) -> EntryStatus | PeerError:
    try:
        return EntryStatus.model_validate(await fetcher.get_json(endpoint, STATUS_PATH))
    except PeerError as error:
        return error
    except ValidationError as error:
        return PeerError(f"{endpoint.name}: {error.error_count()} faults in its status")


def _measure_drain(
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
    # An entry that does not answer may still have requests in flight at the target.
    done = bool(statuses) and not waiting_for and in_flight == 0
    return DrainProgress(target_id, in_flight, waiting_for, done)

"""The operators' verbs as plain functions, for the command line, the console and scripts.

What can be refused returns a ``Result``; a store or an entry that cannot be reached raises an
error of ``coord.errors`` or ``errors``.
"""

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from briarspur.change import Change, Comparison, compare, difference
from briarspur.coord.store import ABSENT
from briarspur.errors import DocumentError, Fault
from briarspur.inquiry import (
    Directory,
    DrainProgress,
    LookupReport,
    drain_progress,
    lookup,
    status,
)
from briarspur.lint import find_warnings
from briarspur.policy import PolicyDocument, TargetState, parse_policy
from briarspur.repository import PolicyRepository
from briarspur.revision import Draft, Revision

__all__ = [
    "Accepted",
    "CheckReport",
    "DiffReport",
    "Directory",
    "DrainProgress",
    "LookupReport",
    "Race",
    "Refused",
    "Signature",
    "apply",
    "as_json",
    "check",
    "diff",
    "drain_progress",
    "lookup",
    "rollback",
    "set_target_state",
    "status",
]

RACE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Signature:
    """Who writes a revision and why; ``token`` is unique to the write."""

    token: str
    author: str
    note: str
    written_at: str


@dataclass(frozen=True, slots=True)
class CheckReport:
    """A document's faults, or the warnings about a valid one."""

    document: PolicyDocument | None
    faults: tuple[Fault, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class DiffReport:
    """What a document would change in the revision in force."""

    version: int
    changes: tuple[Change, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A revision that is in force in the store, with what it changed."""

    revision: Revision
    changes: tuple[Change, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Race:
    """The policy is not at the version the author edited; nothing was written.

    Attributes
    ----------
    current : Revision or None
        What is in force.
    comparison : Comparison or None
        Both edits side by side; None if the edited version is not in the history.
    """

    expected_version: int
    current: Revision | None
    comparison: Comparison | None


@dataclass(frozen=True, slots=True)
class Refused:
    """What was asked for makes no sense with the policy in force; nothing was written."""

    reason: str


def check(text: str | bytes, source: str = "policy") -> CheckReport:
    """Check a document without a store."""
    try:
        document = parse_policy(text, source)
    except DocumentError as error:
        return CheckReport(None, tuple(error.faults), ())
    return CheckReport(document, (), tuple(find_warnings(document)))


async def diff(repository: PolicyRepository, document: PolicyDocument) -> DiffReport:
    """Return what ``document`` would change."""
    current = await repository.current()
    version = current.version if current else ABSENT
    changes = difference(as_json(current.document) if current else {}, as_json(document))
    return DiffReport(version, tuple(changes), tuple(find_warnings(document)))


async def apply(
    repository: PolicyRepository,
    document: PolicyDocument,
    expected_version: int,
    signature: Signature,
) -> Result[Accepted, Race]:
    """Make ``document`` the policy in force, if the policy is still at ``expected_version``.

    Parameters
    ----------
    expected_version : int
        The version that was edited; ``ABSENT`` if there must be no policy yet.
    """
    draft = Draft(document, signature.token, signature.author, signature.note, signature.written_at)
    accepted = await repository.accept(draft, expected_version)
    base = await _document_of(repository, expected_version)
    if accepted.is_ok():
        changes = difference(base or {}, as_json(document))
        return Ok(Accepted(accepted.ok, tuple(changes), tuple(find_warnings(document))))
    current = accepted.error.current
    comparison = None
    if current is not None and base is not None:
        comparison = compare(base, as_json(document), as_json(current.document))
    return Error(Race(expected_version, current, comparison))


async def rollback(
    repository: PolicyRepository, version: int, expected_version: int, signature: Signature
) -> Result[Accepted, Race | Refused]:
    """Put the document of a past version in force again, as a new and higher version."""
    past = await repository.revision(version)
    if past is None:
        return Error(Refused(f"no version {version} in the history"))
    accepted = await apply(repository, past.document, expected_version, signature)
    return Ok(accepted.ok) if accepted.is_ok() else Error(accepted.error)


async def set_target_state(
    repository: PolicyRepository, target_id: str, state: TargetState, signature: Signature
) -> Result[Accepted, Race | Refused]:
    """Say that a target is leaving or active, in the policy.

    A racing edit elsewhere in the policy is no hindrance: the state is set again in what the
    other operator made.
    """
    for _ in range(RACE_ATTEMPTS):
        current = await repository.current()
        if current is None:
            return Error(Refused("no policy is in force"))
        if target_id not in current.document.targets:
            return Error(Refused(f"no target {target_id} in version {current.version}"))
        target = current.document.targets[target_id].model_copy(update={"state": state})
        targets = {**current.document.targets, target_id: target}
        document = current.document.model_copy(update={"targets": targets})
        accepted = await apply(repository, document, current.version, signature)
        if accepted.is_ok():
            return Ok(accepted.ok)
    return Error(accepted.error)


def as_json(document: PolicyDocument) -> dict[str, Any]:
    """Return the document as JSON values, for comparing and printing."""
    return document.model_dump(mode="json")


async def _document_of(repository: PolicyRepository, version: int) -> dict[str, Any] | None:
    if version == ABSENT:
        return {}
    revision = await repository.revision(version)
    return as_json(revision.document) if revision else None

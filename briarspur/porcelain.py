"""The operators' commands as plain functions, for the command line, the console and scripts.

Functions that can be refused return a ``Result``. If the store or an entry can't be reached, they
raise an error from ``coord.errors`` or ``errors``.
"""

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from briarspur.change import Change, Comparison, compare, difference
from briarspur.coord.store import ABSENT
from briarspur.entryqueries import (
    Directory,
    DrainProgress,
    LookupReport,
    drain_progress,
    lookup,
    status,
)
from briarspur.errors import DocumentError, Fault
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
    "Refused",
    "Signature",
    "VersionConflict",
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

MAX_STATE_CHANGE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Signature:
    """The author of a revision and the reason for it; ``token`` is unique to each write."""

    token: str
    author: str
    note: str
    written_at: str


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The faults of a document, or the warnings about a valid document."""

    document: PolicyDocument | None
    faults: tuple[Fault, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class DiffReport:
    """The changes that a document would make to the revision in force."""

    version: int
    changes: tuple[Change, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A revision that was put in force in the store, with its changes."""

    revision: Revision
    changes: tuple[Change, ...]
    warnings: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The policy is not at the version that the author edited; nothing was written.

    Attributes
    ----------
    current : Revision or None
        The revision in force.
    comparison : Comparison or None
        Both edits compared; None if the edited version is not in the history.
    """

    expected_version: int
    current: Revision | None
    comparison: Comparison | None


@dataclass(frozen=True, slots=True)
class Refused:
    """The command does not apply to the policy in force; nothing was written."""

    reason: str


def check(text: str | bytes, source: str = "policy") -> CheckReport:
    """Check a document without a store."""
    try:
        document = parse_policy(text, source)
    except DocumentError as error:
        return CheckReport(None, tuple(error.faults), ())
    return CheckReport(document, (), tuple(find_warnings(document)))


async def diff(repository: PolicyRepository, document: PolicyDocument) -> DiffReport:
    """Return the changes that ``document`` would make."""
    current = await repository.current()
    version = current.version if current else ABSENT
    changes = difference(as_json(current.document) if current else {}, as_json(document))
    return DiffReport(version, tuple(changes), tuple(find_warnings(document)))


async def apply(
    repository: PolicyRepository,
    document: PolicyDocument,
    expected_version: int,
    signature: Signature,
) -> Result[Accepted, VersionConflict]:
    """Put ``document`` in force if the policy is still at ``expected_version``.

    Parameters
    ----------
    expected_version : int
        The version that was edited; ``ABSENT`` to require that there is no policy yet.
    """
    draft = Draft(document, signature.token, signature.author, signature.note, signature.written_at)
    accepted = await repository.accept(draft, expected_version)
    base = await _document_at(repository, expected_version)
    if accepted.is_ok():
        changes = difference(base or {}, as_json(document))
        return Ok(Accepted(accepted.ok, tuple(changes), tuple(find_warnings(document))))
    current = accepted.error.current
    comparison = None
    if current is not None and base is not None:
        comparison = compare(base, as_json(document), as_json(current.document))
    return Error(VersionConflict(expected_version, current, comparison))


async def rollback(
    repository: PolicyRepository, version: int, expected_version: int, signature: Signature
) -> Result[Accepted, VersionConflict | Refused]:
    """Put the document of a past version in force again, as a new and higher version."""
    past = await repository.revision(version)
    if past is None:
        return Error(Refused(f"no version {version} in the history"))
    accepted = await apply(repository, past.document, expected_version, signature)
    return Ok(accepted.ok) if accepted.is_ok() else Error(accepted.error)


async def set_target_state(
    repository: PolicyRepository, target_id: str, state: TargetState, signature: Signature
) -> Result[Accepted, VersionConflict | Refused]:
    """Set the state of a target in the policy.

    If another operator's edit is accepted first, the state is set again in the resulting policy.
    """
    for _ in range(MAX_STATE_CHANGE_ATTEMPTS):
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
    """Return the document as JSON values for comparing and printing."""
    return document.model_dump(mode="json")


async def _document_at(repository: PolicyRepository, version: int) -> dict[str, Any] | None:
    if version == ABSENT:
        return {}
    revision = await repository.revision(version)
    return as_json(revision.document) if revision else None

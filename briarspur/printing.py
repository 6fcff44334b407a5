"""Format the results of the operators' commands as text or JSON."""

import dataclasses
import json
from collections.abc import Mapping
from enum import Enum
from typing import Any

from pydantic import BaseModel

from briarspur.change import MISSING, Change, Comparison, format_changes
from briarspur.coord.store import ABSENT
from briarspur.explain import Explanation
from briarspur.porcelain import (
    Accepted,
    CheckReport,
    DiffReport,
    DrainProgress,
    LookupReport,
    VersionConflict,
)
from briarspur.revision import Revision
from briarspur.status import FleetStatus

__all__ = [
    "accepted_text",
    "check_text",
    "comparison_text",
    "conflict_text",
    "diff_text",
    "drain_text",
    "explanation_text",
    "fleet_text",
    "history_text",
    "jsonable",
    "lookup_text",
    "to_json",
]


def to_json(value: Any) -> str:
    """Return a result as JSON text."""
    return json.dumps(jsonable(value), ensure_ascii=False, indent=2)


def jsonable(value: Any) -> Any:
    """Return a result as JSON values.

    Dataclasses become objects with their field names as keys. A change without a value before or
    after it has no such key.
    """
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    if isinstance(value, Change):
        values = {"before": value.before, "after": value.after}
        present = {name: found for name, found in values.items() if found is not MISSING}
        return {"path": value.name, **present}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {field.name: jsonable(getattr(value, field.name)) for field in fields}
    if isinstance(value, Enum):
        return value.name.lower() if isinstance(value.value, int) else value.value
    if isinstance(value, Mapping):
        return {str(jsonable(key)): jsonable(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(jsonable(item) for item in value)
    if isinstance(value, list | tuple):
        return [jsonable(item) for item in value]
    return value


def check_text(report: CheckReport) -> str:
    """Return the faults and warnings, one per line."""
    lines = [f"fault: {fault}" for fault in report.faults]
    lines += [f"warning: {warning}" for warning in report.warnings]
    return "\n".join(lines) or "no fault, no warning"


def diff_text(report: DiffReport) -> str:
    """Return the changes from the version in force."""
    lines = [f"against version {report.version}:"]
    lines.append(format_changes(report.changes) or "no change")
    lines += [f"warning: {warning}" for warning in report.warnings]
    return "\n".join(lines)


def accepted_text(accepted: Accepted) -> str:
    """Return the accepted version and its changes."""
    revision = accepted.revision
    lines = [f"version {revision.version} accepted (was {revision.previous})"]
    if revision.previous != ABSENT:
        lines.append(format_changes(accepted.changes) or "no change")
    lines += [f"warning: {warning}" for warning in accepted.warnings]
    return "\n".join(lines)


def conflict_text(conflict: VersionConflict) -> str:
    """Return the author of the version in force, and both edits."""
    if conflict.current is None:
        return f"conflict: expected version {conflict.expected_version}, and there is no policy"
    current = conflict.current
    lines = [
        f"conflict: expected version {conflict.expected_version}, "
        f"in force is {current.version} by {current.author or 'unknown'}: {current.note}",
        "nothing was changed",
    ]
    if conflict.comparison is None:
        lines.append(
            f"version {conflict.expected_version} is not kept: compare with `briarspur diff`"
        )
    else:
        lines.append(comparison_text(conflict.comparison))
    return "\n".join(lines)


def comparison_text(comparison: Comparison) -> str:
    """Return both edits, then the paths that both change differently."""
    lines = ["theirs:", format_changes(comparison.theirs) or "no change"]
    lines += ["yours:", format_changes(comparison.mine) or "no change"]
    for conflict in comparison.conflicts:
        lines.append(f"clash at {conflict.mine.name}")
        lines += [f"  theirs {conflict.theirs}", f"  yours  {conflict.mine}"]
    if not comparison.conflicts:
        lines.append("the edits change different paths: repeat yours on the version in force")
    return "\n".join(lines)


def history_text(revisions: list[Revision]) -> str:
    """Return one line per revision."""
    return "\n".join(
        f"{r.version}  {r.written_at or '-'}  {r.author or '-'}  {r.note}".rstrip()
        for r in revisions
    )


def fleet_text(fleet: FleetStatus) -> str:
    """Return the state of all entries."""
    extent = "in force everywhere" if fleet.in_force_everywhere else "NOT in force everywhere"
    lines = [f"version {fleet.expected_version}: {extent}"]
    for zone in fleet.zones_by_name.values():
        low, high = zone.lowest_version, zone.highest_version
        versions = str(low) if low == high else f"{low} to {high}"
        lines.append(f"zone {zone.zone}: version {versions}, {zone.ready}/{zone.entries} ready")
    for entry_id, reason in fleet.unreachable_by_id.items():
        lines.append(f"unknown: {entry_id}: {reason}")
    for holder, term in fleet.holders.items():
        lines.append(f"lease: {holder}, term {term}")
    for drain in fleet.drains_by_target.values():
        lines.append(
            f"drain: {drain.target_id}: {drain.in_flight} in flight, for {drain.seconds:.0f} s"
        )
    for name, budget in fleet.budgets_by_name.items():
        lines.append(f"budget: {name}: {budget.left:g} of {budget.limit:g} left")
    return "\n".join(lines)


def drain_text(progress: DrainProgress) -> str:
    """Return the progress of a drain in one line."""
    if progress.done:
        return f"{progress.target_id}: drained, nothing in flight"
    line = f"{progress.target_id}: {progress.in_flight} in flight"
    if progress.waiting_for:
        reasons = "; ".join(f"{name} ({reason})" for name, reason in progress.waiting_for.items())
        line += f"; unknown for {reasons}"
    return line


def lookup_text(report: LookupReport) -> str:
    """Return the answer that a caller would get and the reasons for it."""
    lines = [f"not answering: {error}" for error in report.not_answering.values()]
    lines.append(f"answered by {report.asked}:")
    lines.append(json.dumps(report.answer, indent=2))
    lines += [f"why: {reason}" for reason in report.reasons]
    return "\n".join(lines)


def explanation_text(found: Explanation) -> str:
    """Return the explanation of how a request is routed."""
    lines = [
        f"policy version {found.policy_version}",
        f"service {found.service}, rule {found.rule_index}: {found.notes[0]}",
        f"home {found.home}: {found.home_reason}",
    ]
    for number, choice in enumerate(found.regions, 1):
        share = f", share {choice.share:g}" if choice.share else ""
        targets = ", ".join(choice.target_ids) or "no target"
        line = f"{number}. {choice.region} ({choice.reason}{share}): {targets}"
        leaving = f"; leaving: {', '.join(choice.leaving_ids)}" if choice.leaving_ids else ""
        lines.append(f"{line}; {choice.slots} slots{leaving}")
    lines += found.notes[1:]
    return "\n".join(lines)

"""The text and JSON forms of what the operators' verbs return."""

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
    "diff_text",
    "drain_text",
    "explanation_text",
    "fleet_text",
    "history_text",
    "jsonable",
    "lookup_text",
    "race_text",
    "to_json",
]


def to_json(value: Any) -> str:
    """Return the JSON text of a result."""
    return json.dumps(jsonable(value), ensure_ascii=False, indent=2)


def jsonable(value: Any) -> Any:
    """Return a result as JSON values; a missing side of a change is left out."""
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    if isinstance(value, Change):
        sides = {"before": value.before, "after": value.after}
        present = {name: side for name, side in sides.items() if side is not MISSING}
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
    """Return the faults and warnings, one a line."""
    lines = [f"fault: {fault}" for fault in report.faults]
    lines += [f"warning: {warning}" for warning in report.warnings]
    return "\n".join(lines) or "no fault, no warning"


def diff_text(report: DiffReport) -> str:
    """Return the changes against the version in force."""
    lines = [f"against version {report.version}:"]
    lines.append(format_changes(report.changes) or "no change")
    lines += [f"warning: {warning}" for warning in report.warnings]
    return "\n".join(lines)


def accepted_text(accepted: Accepted) -> str:
    """Return the version that is in force and what it changed."""
    revision = accepted.revision
    lines = [f"version {revision.version} accepted (was {revision.previous})"]
    if revision.previous != ABSENT:
        lines.append(format_changes(accepted.changes) or "no change")
    lines += [f"warning: {warning}" for warning in accepted.warnings]
    return "\n".join(lines)


def race_text(race: VersionConflict) -> str:
    """Return whose edit is in force, and both edits side by side."""
    if race.current is None:
        return f"conflict: expected version {race.expected_version}, and there is no policy"
    current = race.current
    lines = [
        f"conflict: expected version {race.expected_version}, "
        f"in force is {current.version} by {current.author or 'unknown'}: {current.note}",
        "nothing was changed",
    ]
    if race.comparison is None:
        lines.append(f"version {race.expected_version} is not kept: compare with `briarspur diff`")
    else:
        lines.append(comparison_text(race.comparison))
    return "\n".join(lines)


def comparison_text(comparison: Comparison) -> str:
    """Return both edits, then the paths at which they clash."""
    lines = ["theirs:", format_changes(comparison.theirs) or "no change"]
    lines += ["yours:", format_changes(comparison.mine) or "no change"]
    for conflict in comparison.conflicts:
        lines.append(f"clash at {conflict.mine.name}")
        lines += [f"  theirs {conflict.theirs}", f"  yours  {conflict.mine}"]
    if not comparison.conflicts:
        lines.append("the edits touch different paths: make yours again on the version in force")
    return "\n".join(lines)


def history_text(revisions: list[Revision]) -> str:
    """Return one line for each revision."""
    return "\n".join(
        f"{r.version}  {r.written_at or '-'}  {r.author or '-'}  {r.note}".rstrip()
        for r in revisions
    )


def fleet_text(fleet: FleetStatus) -> str:
    """Return what all entries said."""
    everywhere = "in force everywhere" if fleet.in_force_everywhere else "NOT in force everywhere"
    lines = [f"version {fleet.expected_version}: {everywhere}"]
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
    """Return how far a drain is, in one line."""
    if progress.done:
        return f"{progress.target_id}: drained, nothing in flight"
    line = f"{progress.target_id}: {progress.in_flight} in flight"
    if progress.waiting_for:
        reasons = "; ".join(f"{name} ({why})" for name, why in progress.waiting_for.items())
        line += f"; not known of {reasons}"
    return line


def lookup_text(report: LookupReport) -> str:
    """Return the answer a caller would get."""
    lines = [f"not answering: {why}" for why in report.not_answering.values()]
    lines.append(f"answered by {report.asked}:")
    lines.append(json.dumps(report.answer, indent=2))
    lines += [f"why: {reason}" for reason in report.reasons]
    return "\n".join(lines)


def explanation_text(found: Explanation) -> str:
    """Return why a request goes where it goes."""
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

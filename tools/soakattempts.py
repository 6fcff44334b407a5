"""Fault soak: how many servers run one request, and how much time they are given for it."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from tools.soakparts import ARRIVAL, CRASH, CallResult, SoakDeployment

__all__ = ["AttemptChecks"]

MAX_OVER_ATTEMPTS = 3
"""Requests that may run at more servers than their route allows."""
TIME_TOLERANCE_S = 0.5
MAX_LATE, MAX_LATE_SHARE = 20, 0.2
"""Arrivals that may be given too much time: a number, and a share of all."""
FAULT_MARGIN_S = 8.0
"""Time around its runs in which a fault of a server excludes the server from a request's count."""


class AttemptChecks:
    """Compares what servers saw of each request with its route's attempts and its caller's time.

    Parameters
    ----------
    attempts : int
        Servers that may run one request.
    is_undisturbed : callable
        Returns whether a server had no fault between two Unix times.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        attempts: int,
        is_undisturbed: Callable[[str, float, float], bool],
    ) -> None:
        self._deployment = deployment
        self._attempts = attempts
        self._is_undisturbed = is_undisturbed

    def check(self, results: Sequence[CallResult]) -> Iterator[str]:
        """Yield the violations."""
        yield from self._check_servers()
        yield from self._check_time({result.request_id: result for result in results})

    def _check_servers(self) -> Iterator[str]:
        crashed = {row["target"] for row in self._deployment.rows(CRASH)}
        over = [
            (request_id, len(servers))
            for request_id, rows in self._deployment.runs().items()
            if len(servers := self._servers(rows) - crashed) > self._attempts
        ]
        if len(over) > MAX_OVER_ATTEMPTS:
            yield (
                f"{len(over)} requests ran at more than {self._attempts} servers, "
                f"{over[0][0]} at {over[0][1]}"
            )

    def _servers(self, rows: Sequence[dict[str, Any]]) -> set[str]:
        """Return the servers that ran a request and had no fault meanwhile."""
        if len(rows) <= self._attempts:
            return set()
        begin = min(row["at"] for row in rows) - FAULT_MARGIN_S
        end = max(row["at"] for row in rows) + FAULT_MARGIN_S
        return {row["target"] for row in rows if self._is_undisturbed(row["target"], begin, end)}

    def _check_time(self, results_by_id: dict[str, CallResult]) -> Iterator[str]:
        """Yield whether servers were given more time than the callers had left."""
        arrivals: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for row in sorted(self._deployment.rows(ARRIVAL), key=lambda row: float(row["at"])):
            if row["id"] in results_by_id and not row["is_rejected"]:
                arrivals[row["id"]].append(row)
        late = [
            request_id
            for request_id, rows in arrivals.items()
            for row in rows
            if _has_too_much_time(row, rows[0], results_by_id[request_id])
        ]
        total = sum(map(len, arrivals.values()))
        if len(late) > MAX_LATE and len(late) > MAX_LATE_SHARE * total:
            yield f"{len(late)} of {total} arrivals were given too much time, {late[0]} first"


def _has_too_much_time(row: dict[str, Any], first: dict[str, Any], result: CallResult) -> bool:
    """Return whether an arrival has no time limit, or one beyond its caller's."""
    if row["left_ms"] is None:
        return True
    left_s = row["left_ms"] / 1000.0
    if row["at"] <= first["at"] + TIME_TOLERANCE_S:
        return bool(left_s > result.timeout_s + TIME_TOLERANCE_S)
    if first["left_ms"] is None:
        return False
    first_end = first["at"] + first["left_ms"] / 1000.0
    allowed_end = max(first_end, result.sent + result.timeout_s)
    return bool(row["at"] + left_s > allowed_end + TIME_TOLERANCE_S)

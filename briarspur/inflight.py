"""The attempts in progress: the resources they hold and the statistics they update."""

from briarspur.coord.invariants import invariants
from briarspur.coord.once import KeyMemory
from briarspur.coord.quarantine import Quarantine
from briarspur.members import ViewedMember
from briarspur.messages import Dispatch, Failure, Forward
from briarspur.placement import Placement
from briarspur.target import OwnTarget
from briarspur.work import Attempt, Work

__all__ = ["InFlight"]


class InFlight:
    """Attempts by id.

    An attempt holds a slot of its target and a unit of the region's in-flight limit from its
    creation until :meth:`end`. Once created for a request with a key, the attempt counts as run
    unless there is proof that it was not.
    """

    def __init__(
        self, region: str, placement: Placement, quarantine: Quarantine, keys: KeyMemory
    ) -> None:
        self._region = region
        self._placement = placement
        self._quarantine = quarantine
        self._keys = keys
        self._by_id: dict[int, Attempt] = {}
        self._work_by_attempt: dict[int, Work] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def current(self, attempt_id: int) -> tuple[Work, Attempt] | None:
        """Return a request with its current attempt; None if the attempt is no longer current.

        Answers of superseded attempts arrive late and out of order; relaying one would send a
        caller parts of two different answers.
        """
        attempt = self._by_id.get(attempt_id)
        work = self._work_by_attempt.get(attempt_id)
        if attempt is None or work is None:
            return None
        invariants.check("one-attempt-a-request", work.attempt is attempt, attempt)
        return work, attempt

    def dispatch(self, work: Work, own: OwnTarget, now: float) -> Dispatch | None:
        """Dispatch to one of this entry's targets, with a unit of the region's limit already held.

        Returns None and releases the unit if the request must not be sent after all.
        """
        attempt = self._create(work, now)
        attempt.target_id = own.target.target_id
        if work.isolated and not self._quarantine.begin_isolated_run(
            work.request.body_digest, own.target.target_id, now
        ):
            self._placement.account.release(work.deadline)
            self._discard(work, attempt)
            return None
        if work.key is not None and not self._keys.mark_dispatched(work.key, attempt.attempt_id):
            self._placement.account.release(work.deadline)
            self._discard(work, attempt)
            return None
        self._placement.targets_by_service[attempt.service].started(own, attempt.attempt_id, work)
        return Dispatch(
            request_id=work.request.request_id,
            attempt_id=attempt.attempt_id,
            target=own.target.address,
            service=attempt.service,
            region=self._region,
            priority=work.priority,
            deadline=work.deadline,
            keep_answer=work.key is not None,
            resume_at=work.bytes_sent,
        )

    def forward(
        self, work: Work, member: ViewedMember, now: float, to_home: bool = False
    ) -> Forward | None:
        """Forward to another entry; return None if the request must not be sent after all."""
        attempt = self._create(work, now)
        attempt.entry_id = member.address.entry_id
        attempt.to_key_home = to_home
        if work.key is not None and not self._keys.mark_dispatched(work.key, attempt.attempt_id):
            self._discard(work, attempt)
            return None
        self._placement.loads.record_sent(attempt.entry_id, attempt.service)
        return Forward(
            request_id=work.request.request_id,
            attempt_id=attempt.attempt_id,
            entry=member.address,
            deadline=work.deadline,
            dispatch_only=work.key is not None,
            relay_refusals=to_home,
            keep_answer=work.key is not None,
            resume_at=work.bytes_sent,
            region=member.region,
        )

    def _create(self, work: Work, now: float) -> Attempt:
        self._last_id += 1
        request_id = work.request.request_id
        attempt = Attempt(self._last_id, request_id, work.service.name, work.region, now)
        self._by_id[attempt.attempt_id] = attempt
        self._work_by_attempt[attempt.attempt_id] = work
        work.attempt = attempt
        work.attempt_count += 1
        return attempt

    def _discard(self, work: Work, attempt: Attempt) -> None:
        del self._by_id[attempt.attempt_id]
        del self._work_by_attempt[attempt.attempt_id]
        work.attempt = None

    def answered(self, work: Work, attempt: Attempt, status: int, now: float) -> None:
        """End an attempt whose answer is complete, and update the target's statistics."""
        self._quarantine.record_answer(work.request.body_digest)
        own = self._own_target(attempt)
        if own is not None:
            targets = self._placement.targets_by_service[attempt.service]
            targets.answered(own, now - attempt.started, now)
            self._record_result(attempt, status < 500, now)
        self.end(work, attempt)

    def failed(
        self,
        work: Work,
        attempt: Attempt,
        failure: Failure,
        crashed: bool,
        now: float,
        backoff: float | None = None,
    ) -> None:
        """End an attempt without a complete answer, and update the target's statistics.

        Parameters
        ----------
        backoff : float or None
            Seconds for which the receiver that shed the request asked to get no more of them.
        """
        own = self._own_target(attempt)
        if own is not None:
            self._record_result(attempt, failure is Failure.SHED, now)
            if crashed:
                self._record_crash(own, now)
            if failure is Failure.SHED and backoff is not None:
                own.back_off(backoff, now)
        self.end(work, attempt)
        if attempt.target_id is not None:
            work.failed_targets.add(attempt.target_id)
        if attempt.entry_id is not None:
            work.failed_entries.add(attempt.entry_id)

    def end(self, work: Work, attempt: Attempt) -> None:
        """Remove an attempt and release the resources it holds."""
        del self._by_id[attempt.attempt_id]
        del self._work_by_attempt[attempt.attempt_id]
        work.attempt = None
        if attempt.entry_id is not None:
            self._placement.loads.record_ended(attempt.entry_id, attempt.service)
            return
        own = self._own_target(attempt)
        if own is not None:
            targets = self._placement.targets_by_service[attempt.service]
            targets.ended(own, attempt.attempt_id)
            self._placement.account.release(work.deadline)
            self._quarantine.end_isolated_run(work.request.body_digest, own.target.target_id)

    def _record_crash(self, own: OwnTarget, now: float) -> None:
        # One crash breaks every connection to the target. Counting each as a separate crash would
        # quarantine a suspect after the first one, so the first broken connection reports all
        # suspects and clears the list. The ramp restarts at one, so that nothing new is sent before
        # the last of the connections has broken.
        suspects = list(own.digests_by_attempt.values())
        own.digests_by_attempt.clear()
        self._quarantine.record_crash(own.target.target_id, suspects, now)
        own.ramp.restart(now)

    def _record_result(self, attempt: Attempt, ok: bool, now: float) -> None:
        if attempt.target_id is not None:
            outliers = self._placement.outliers_by_service[attempt.service]
            outliers.record(attempt.target_id, ok, now)

    def _own_target(self, attempt: Attempt) -> OwnTarget | None:
        if attempt.target_id is None:
            return None
        return self._placement.targets_by_service[attempt.service].by_id.get(attempt.target_id)

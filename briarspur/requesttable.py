"""The open requests and their final answers: one for each caller, including joined ones.

A request joins another one if it repeats its key while that one runs.
"""

from briarspur.codes import Code
from briarspur.coord.keys import Key
from briarspur.coord.once import KeptAnswer, KeyMemory, NotRun, NotRunProof
from briarspur.messages import Abort, Action, Refuse, Reply
from briarspur.placement import Placement
from briarspur.refusal import Answer, Refusal
from briarspur.work import Work

__all__ = ["RequestTable"]


class RequestTable:
    """Open requests by id; methods that finish requests append the actions to ``out``."""

    def __init__(self, keys: KeyMemory, placement: Placement) -> None:
        self._keys = keys
        self._placement = placement
        self._work_by_id: dict[str, Work] = {}

    def __len__(self) -> int:
        return len(self._work_by_id)

    def open(self, work: Work) -> None:
        """Add a request."""
        self._work_by_id[work.request.request_id] = work

    def get(self, request_id: str) -> Work | None:
        """Return an open request."""
        return self._work_by_id.get(request_id)

    def close(self, work: Work) -> None:
        """Remove a request that needs no further answer."""
        self._placement.dequeue(work)
        self._work_by_id.pop(work.request.request_id, None)

    def finish_answered(
        self, work: Work, answer: Answer | None, now: float, out: list[Action]
    ) -> None:
        """Finish a request whose answer is complete, and send the same answer to joined callers."""
        if work.key is not None:
            kept = KeptAnswer(answer.status, answer.headers, answer.body) if answer else None
            for request_id in self._keys.mark_finished(work.key, kept, now):
                if request_id != work.request.request_id:
                    self._deliver_outcome(request_id, answer, out)
        self.close(work)

    def _deliver_outcome(self, request_id: str, answer: Answer | None, out: list[Action]) -> None:
        if self._work_by_id.pop(request_id, None) is None:
            return
        if answer is None:
            out.append(Refuse(request_id, Refusal(Code.ANSWERED_NOT_KEPT)))
        else:
            out.append(Reply(request_id, answer))

    def reject_not_run(
        self,
        work: Work,
        refusal: Refusal,
        out: list[Action],
        proof: NotRunProof | None = None,
    ) -> None:
        """Refuse the caller of a request that was not run, and those that joined it.

        If the key may have run, they get a refusal that says that the outcome is unknown.
        """
        if work.key is None:
            self.finish(work, refusal, out)
            return
        result = self._keys.mark_not_run(work.key, proof)
        if not isinstance(result, NotRun):
            refusal = Refusal(Code.OUTCOME_UNKNOWN)
        self.finish(work, refusal, out)
        self._refuse_all(result.request_ids, refusal, out)

    def finish_unknown(self, work: Work, refusal: Refusal, now: float, out: list[Action]) -> None:
        """Refuse every caller of a request whose outcome is unknown."""
        waiting = self._keys.mark_lost(work.key, now) if work.key is not None else ()
        self.finish(work, refusal, out)
        self._refuse_all(waiting, refusal, out)

    def finish(self, work: Work, refusal: Refusal, out: list[Action]) -> None:
        """Refuse one caller; abort its connection if it already has a part of the body."""
        request_id = work.request.request_id
        if work.caller_connected:
            end = Abort if work.bytes_sent > 0 else Refuse
            out.append(end(request_id, refusal))
        self.close(work)

    def _refuse_all(
        self, request_ids: tuple[str, ...], refusal: Refusal, out: list[Action]
    ) -> None:
        for request_id in request_ids:
            if self._work_by_id.pop(request_id, None) is not None:
                out.append(Refuse(request_id, refusal))

    def is_waiting_for_store(self, work: Work, key: Key) -> bool:
        """Return whether the caller is connected and its request has not been sent anywhere yet."""
        if self.get(work.request.request_id) is not work or not work.caller_connected:
            return False
        return work.attempt is None and (work.claim_pending or not self._is_past_claim(key))

    def _is_past_claim(self, key: Key) -> bool:
        """Return whether a request with this key has passed the claim stage."""
        runners = [work for work in self._work_by_id.values() if work.key == key]
        return any(not runner.claim_pending for runner in runners)

    def refuse_caller(self, work: Work, refusal: Refusal, out: list[Action]) -> None:
        """Refuse the caller of a once-only request; work already started for its key continues."""
        out.append(Refuse(work.request.request_id, refusal))
        work.caller_connected = False
        self.handle_once_only_disconnect(work)

    def handle_once_only_disconnect(self, work: Work) -> None:
        """Drop a once-only request if nothing was dispatched and no other caller waits for it."""
        key = self._keys.remove_caller(work.request.request_id)
        runners = [w for w in self._work_by_id.values() if key is not None and w.key == key]
        if work.claim_pending:
            # The claim may take effect and can't be repeated, so its result has to be awaited.
            return
        if any(runner.claim_pending for runner in runners):
            # A joined request has no claim itself; the request that runs the key awaits it.
            self.close(work)
            return
        if key is not None:
            self._keys.mark_not_run(key)
            for runner in runners:
                self.close(runner)
        elif work.attempt is None and work.key is None:
            self.close(work)

"""The open requests and their final answers: one for each caller, also of those that joined."""

from briarspur.codes import Code
from briarspur.coord.keys import Key
from briarspur.coord.once import KeptAnswer, KeyMemory, NotRun, NotRunProof
from briarspur.messages import Abort, Action, Refuse, Reply
from briarspur.placement import Placement
from briarspur.refusal import Answer, Refusal
from briarspur.work import Work

__all__ = ["Finals"]


class Finals:
    """Open requests by id; each method that ends one appends the actions to ``out``."""

    def __init__(self, keys: KeyMemory, placement: Placement) -> None:
        self._keys = keys
        self._placement = placement
        self._works_by_id: dict[str, Work] = {}

    def __len__(self) -> int:
        return len(self._works_by_id)

    def open(self, work: Work) -> None:
        """Add a request."""
        self._works_by_id[work.request.request_id] = work

    def get(self, request_id: str) -> Work | None:
        """Return an open request."""
        return self._works_by_id.get(request_id)

    def close(self, work: Work) -> None:
        """Forget a request that needs no answer any more."""
        self._placement.dequeue(work)
        self._works_by_id.pop(work.request.request_id, None)

    def answered(self, work: Work, answer: Answer | None, now: float, out: list[Action]) -> None:
        """End a request whose whole answer has passed; callers that joined it get the same."""
        if work.key is not None:
            kept = KeptAnswer(answer.status, answer.headers, answer.body) if answer else None
            for request_id in self._keys.mark_finished(work.key, kept, now):
                if request_id != work.request.request_id:
                    self._pass_on(request_id, answer, out)
        self.close(work)

    def _pass_on(self, request_id: str, answer: Answer | None, out: list[Action]) -> None:
        if self._works_by_id.pop(request_id, None) is None:
            return
        if answer is None:
            out.append(Refuse(request_id, Refusal(Code.ANSWERED_NOT_KEPT)))
        else:
            out.append(Reply(request_id, answer))

    def give_up(
        self,
        work: Work,
        refusal: Refusal,
        out: list[Action],
        proof: NotRunProof | None = None,
    ) -> None:
        """Refuse a request that was not run, and every caller that joined it."""
        if work.key is None:
            self.finish(work, refusal, out)
            return
        result = self._keys.mark_not_run(work.key, proof)
        if not isinstance(result, NotRun):
            refusal = Refusal(Code.OUTCOME_UNKNOWN)
        self.finish(work, refusal, out)
        self._refuse_all(result.request_ids, refusal, out)

    def unknown(self, work: Work, refusal: Refusal, now: float, out: list[Action]) -> None:
        """Tell every caller of a request that its outcome is unknown."""
        waiting = self._keys.mark_lost(work.key, now) if work.key is not None else ()
        self.finish(work, refusal, out)
        self._refuse_all(waiting, refusal, out)

    def finish(self, work: Work, refusal: Refusal, out: list[Action]) -> None:
        """Refuse one caller; cut its connection if a part of an answer has passed."""
        request_id = work.request.request_id
        if work.caller_here:
            end = Abort if work.passed > 0 else Refuse
            out.append(end(request_id, refusal))
        self.close(work)

    def _refuse_all(
        self, request_ids: tuple[str, ...], refusal: Refusal, out: list[Action]
    ) -> None:
        for request_id in request_ids:
            if self._works_by_id.pop(request_id, None) is not None:
                out.append(Refuse(request_id, refusal))

    def waits_for_store(self, work: Work, key: Key) -> bool:
        """Tell whether a caller is there and nothing of its request has been sent on."""
        if self.get(work.request.request_id) is not work or not work.caller_here:
            return False
        return work.attempt is None and (work.claiming or not self._runs(key))

    def _runs(self, key: Key) -> bool:
        """Tell whether a request of this key is past its claim."""
        runners = [work for work in self._works_by_id.values() if work.key == key]
        return any(not runner.claiming for runner in runners)

    def refuse_caller(self, work: Work, refusal: Refusal, out: list[Action]) -> None:
        """Refuse a once-only request's caller; what was begun for its key goes on."""
        out.append(Refuse(work.request.request_id, refusal))
        work.caller_here = False
        self.once_only_caller_gone(work)

    def once_only_caller_gone(self, work: Work) -> None:
        """Give a once-only request up if nothing was dispatched and no other caller waits."""
        key = self._keys.remove_caller(work.request.request_id)
        runners = [w for w in self._works_by_id.values() if key is not None and w.key == key]
        if work.claiming:
            # The claim may take effect and can't be made twice: its answer decides.
            return
        if any(runner.claiming for runner in runners):
            # One that joined has nothing of its own to wait for: the runner has the claim.
            self.close(work)
            return
        if key is not None:
            self._keys.mark_not_run(key)
            for runner in runners:
                self.close(runner)
        elif work.attempt is None and work.key is None:
            self.close(work)

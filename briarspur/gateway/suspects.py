"""Detects requests that crash the backend servers that run them, over all entries together.

An attempt without an answer is a loss of its request at one incarnation of a server. The loss is
confirmed as a possible crash if that incarnation can't be reached afterwards, if another server
answers at its address, or if its registration lapses. It is refuted if the incarnation answers an
attempt that began later, if it stays registered, or if the caller's request gets an answer. A
request with three confirmed losses is suspended.

Entries report losses to each other. There is one for each request and incarnation, and its state
only advances, from open to confirmed to refuted. So reports may be lost, repeated, late or
reordered, and entries that know the same reports suspend the same requests.
"""

from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from briarspur import logs
from briarspur.coord.rendezvous import rank
from briarspur.gateway.content import RequestContent
from briarspur.gateway.loss import Evidence, Loss, LossState

__all__ = ["Suspects"]

LOSSES_TO_SUSPEND = 3
"""Losses of one caller's request, or callers that lost the same request, from which it is
suspended. A caller whose request is merely on a server that crashes is usually answered at the next
one, so three losses in a row are unlikely without a cause in the request."""
SUSPENSION_S = 600.0
"""Time since the latest loss after which one entry tries a suspended request again: the servers may
have got a version that runs it."""
LIFETIME_S = 2.0 * SUSPENSION_S
"""Time after which a loss is forgotten; its request was not sent again, or never to the entry that
may try it."""
TRIAL_TIMEOUT_S = 30.0
"""Time after which a trial without a result may be repeated."""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
"""Bounds of the Retry-After time, which is the time since the latest loss. A request that was
suspended by mistake is usually resumed within a second."""
REPORT_FOR_S = 3.0
"""Time for which a new or refuted loss is reported in each message."""
REGISTRATION_LAPSE_S = 10.0
"""Time after which a server that is still registered can't have crashed: registrations lapse after
three renewals, of 1.5 s, have failed."""
MIN_LOSSES_TO_CHECK = 2
CHECK_INTERVAL_S = 1.0
"""Time between two checks whether a server can be reached at which a request was lost that was lost
at another one, too."""
REFUTED_KEPT_S = 10.0
"""Time for which a refuted loss is kept, so that late reports of it have no effect. If its request
was suspended it is kept for its lifetime: an entry that has missed the refutation reports the
request as suspended for as long."""
MAX_REPORTED_NEW = 5
MAX_REPORTED = 8
"""Losses in one message, 175 bytes: new ones, and in rotation those of suspended requests, which
entries that start later have to learn."""
MAX_REQUESTS = 1_000
MAX_LOSSES_PER_REQUEST = 8


@dataclass(slots=True)
class _KnownLoss:
    """A loss; times are seconds on this entry's clock.

    Attributes
    ----------
    is_own : bool
        Whether this entry made the attempt.
    is_shared : bool
        Whether other entries know of it.
    is_disputed : bool
        Whether another entry reported an earlier state long after this one was reported.
    """

    caller: int
    at: float
    is_own: bool
    changed_at: float
    state: LossState
    is_shared: bool
    is_disputed: bool = False
    checked_at: float = float("-inf")

    def advance(self, state: LossState, now: float) -> bool:
        """Advance to a state; return whether it was an earlier one."""
        if state <= self.state:
            return False
        self.state, self.changed_at = state, now
        self.is_shared = self.is_shared or state is LossState.CONFIRMED
        return True


@dataclass(slots=True)
class _Suspect:
    """The losses of one request, by the number of the server's incarnation."""

    by_target: dict[int, _KnownLoss] = field(default_factory=dict)
    was_suspended: bool = False
    trial_at: float = float("-inf")

    def is_expired(self, loss: _KnownLoss, now: float) -> bool:
        """Return whether a loss need not be kept any longer."""
        if now - loss.at >= LIFETIME_S:
            return True
        is_refuted = loss.state is LossState.REFUTED
        return is_refuted and not self.was_suspended and now - loss.changed_at > REFUTED_KEPT_S

    def count(self) -> int:
        """Return the number of losses that are not refuted."""
        return sum(loss.state is not LossState.REFUTED for loss in self.by_target.values())

    def confirmed(self) -> dict[int, _KnownLoss]:
        """Return the confirmed losses."""
        return {t: x for t, x in self.by_target.items() if x.state is LossState.CONFIRMED}

    def latest(self) -> float:
        """Return the time of the latest loss."""
        return max((loss.at for loss in self.by_target.values()), default=float("-inf"))

    def on_trial(self, now: float) -> bool:
        """Return whether the request is being tried after its suspension."""
        return now - self.trial_at <= TRIAL_TIMEOUT_S

    def is_suspended(self, caller: int | None = None) -> bool:
        """Return whether the request is suspended for a caller, or for any caller if None.

        Other callers of the same content may send other headers, so they are affected only if
        several callers' requests were lost.
        """
        losses_by_caller = Counter(loss.caller for loss in self.confirmed().values())
        if len(losses_by_caller) >= LOSSES_TO_SUSPEND:
            return True
        losses = losses_by_caller.values() if caller is None else (losses_by_caller[caller],)
        return any(count >= LOSSES_TO_SUSPEND for count in losses)


class Suspects:
    """The requests whose attempts were lost, as far as this entry knows.

    Parameters
    ----------
    entry_id : str
        This entry's id.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._by_content: dict[int, _Suspect] = {}
        self._contents_by_target: defaultdict[int, set[int]] = defaultdict(set)
        self._suspended: dict[int, _Suspect] = {}
        self._changed: dict[tuple[int, int], _KnownLoss] = {}
        self._rotation = 0

    # Attempts

    def record_lost(
        self, content: RequestContent, target: int, now: float, is_shared: bool = True
    ) -> None:
        """Record that an attempt ended without an answer.

        Parameters
        ----------
        is_shared : bool
            Whether to report it to other entries before it is confirmed.
        """
        self._add(Loss(content.digest, target, content.caller, 0.0), True, now, is_shared)

    def record_answered(self, content: RequestContent, now: float) -> None:
        """Refute the losses of a caller's request that got an answer."""
        suspect = self._by_content.get(content.digest) if self._by_content else None
        if suspect is None:
            return
        is_trial = suspect.on_trial(now)
        for target, loss in suspect.by_target.items():
            if is_trial or loss.caller == content.caller:
                self._advance(
                    content.digest, target, LossState.REFUTED, Evidence.REQUEST_ANSWERED, now
                )

    def record_alive(self, target: int, since: float, now: float) -> None:
        """Refute the losses at a server that answered an attempt begun at the time ``since``."""
        self._advance_at(target, since, LossState.REFUTED, Evidence.SERVER_ANSWERED, now)

    def record_unreachable(self, target: int, since: float, now: float) -> None:
        """Confirm the losses at a server that an attempt begun at ``since`` could not reach."""
        self._advance_at(target, since, LossState.CONFIRMED, Evidence.UNREACHABLE, now)

    def record_replaced(self, target: int, since: float, now: float) -> None:
        """Confirm the losses at a server at whose address another one answered.

        Parameters
        ----------
        since : float
            When the attempt began that the other server answered.
        """
        self._advance_at(target, since, LossState.CONFIRMED, Evidence.REPLACED, now)

    def record_registered(self, targets: Container[int], now: float) -> None:
        """Confirm the losses at servers whose registrations lapsed, and refute those at others.

        Parameters
        ----------
        targets : container of int
            The registered incarnations; must be up to date.
        """
        for content, suspect in self._by_content.items():
            for target, loss in suspect.by_target.items():
                if target not in targets:
                    # This entry may not know the servers of others' losses yet.
                    if loss.is_own:
                        self._advance(content, target, LossState.CONFIRMED, Evidence.LAPSED, now)
                elif now - loss.at > REGISTRATION_LAPSE_S:
                    self._advance(
                        content, target, LossState.REFUTED, Evidence.STILL_REGISTERED, now
                    )

    def retract_own(self, since: float, now: float) -> None:
        """Refute this entry's losses since a time, since it didn't reach the servers then."""
        for content, suspect in self._by_content.items():
            for target, loss in suspect.by_target.items():
                if loss.is_own and loss.at >= since:
                    self._advance(content, target, LossState.REFUTED, Evidence.CUT_OFF, now)

    def targets_to_check(self, now: float) -> list[int]:
        """Return the servers for which this entry should check now whether they can be reached."""
        due = []
        for suspect in self._by_content.values():
            if suspect.count() < MIN_LOSSES_TO_CHECK:
                continue
            for target, loss in suspect.by_target.items():
                is_open = loss.is_own and loss.state is LossState.OPEN
                if is_open and now - loss.checked_at >= CHECK_INTERVAL_S:
                    loss.checked_at = now
                    due.append(target)
        return due

    # Requests

    def is_suspected(self, content: RequestContent | None) -> bool:
        """Return whether a request has losses that are not refuted."""
        if content is None or not self._by_content:
            return False
        suspect = self._by_content.get(content.digest)
        return suspect is not None and suspect.count() > 0

    def is_suspended(self, content: RequestContent | None, now: float) -> bool:
        """Return whether a request is suspended and not on trial."""
        if content is None or not self._suspended:
            return False
        suspect = self._suspended.get(content.digest)
        if suspect is None or suspect.on_trial(now):
            return False
        return suspect.is_suspended(content.caller)

    def retry_after(
        self, content: RequestContent | None, entries: Sequence[str], now: float
    ) -> float | None:
        """Return when a suspended request may be sent again, in seconds; None if it may run now.

        Parameters
        ----------
        entries : sequence of str
            The live entries, one of which may try the request after its suspension.
        """
        if content is None or not self._suspended:
            return None
        suspect = self._suspended.get(content.digest)
        if suspect is None or not suspect.is_suspended(content.caller):
            return None
        held = now - suspect.latest()
        is_due = held >= SUSPENSION_S and not suspect.on_trial(now)
        if is_due and rank(f"{content.digest:016x}", entries)[:1] == [self._entry_id]:
            suspect.trial_at = now
            return None
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, held))

    # Other entries

    def record_reported(self, losses: Iterable[Loss], now: float) -> None:
        """Record the losses that another entry reported, or that were read from the store."""
        for loss in losses:
            if loss.age < LIFETIME_S:
                self._add(loss, False, now)

    def to_report(self, relays: bool, now: float) -> tuple[Loss, ...]:
        """Return the losses to report to other entries.

        Parameters
        ----------
        relays : bool
            Include new losses that other entries reported.
        """
        if not self._changed and not self._suspended:
            return ()
        chosen = [
            _report(content, target, loss, now)
            for (content, target), loss in reversed(self._changed.items())
            if loss.is_shared and (relays or loss.is_own or loss.is_disputed)
        ][:MAX_REPORTED_NEW]
        standing = list(self.suspended(now))
        count = min(MAX_REPORTED - len(chosen), len(standing))
        for offset in range(count):
            chosen.append(standing[(self._rotation + offset) % len(standing)])
        self._rotation += count
        return tuple(chosen)

    def suspended(self, now: float) -> Iterator[Loss]:
        """Yield the losses for which requests are suspended."""
        for content, suspect in self._suspended.items():
            for target, loss in suspect.confirmed().items():
                yield _report(content, target, loss, now)

    def count_suspended(self) -> int:
        """Return the number of suspended requests."""
        return len(self._suspended)

    def forget(self, now: float) -> None:
        """Drop the losses that are too old to count or to be reported."""
        for key, loss in list(self._changed.items()):
            if now - loss.changed_at > REPORT_FOR_S:
                del self._changed[key]
        for content, suspect in list(self._by_content.items()):
            for target, loss in list(suspect.by_target.items()):
                if suspect.is_expired(loss, now):
                    self._drop_loss(content, target)

    # Internals

    def _add(self, report: Loss, is_own: bool, now: float, is_shared: bool = True) -> None:
        suspect = self._by_content.get(report.content)
        if suspect is None:
            if report.state is LossState.REFUTED:
                return
            if len(self._by_content) >= MAX_REQUESTS:
                self._drop_oldest()
            suspect = self._by_content[report.content] = _Suspect()
        if report.target in suspect.by_target:
            self._compare(report, suspect.by_target[report.target], now)
            return
        at = now - report.age
        loss = _KnownLoss(report.caller, at, is_own, now, report.state, is_shared)
        suspect.by_target[report.target] = loss
        self._contents_by_target[report.target].add(report.content)
        self._changed[report.content, report.target] = loss
        if len(suspect.by_target) > MAX_LOSSES_PER_REQUEST:
            self._drop_excess_loss(report.content, suspect, newest=report.target)
        self._update_suspension(report.content, suspect)

    def _compare(self, report: Loss, loss: _KnownLoss, now: float) -> None:
        """Advance a known loss to a reported state, or report its own state again."""
        if report.state >= loss.state:
            self._advance(report.content, report.target, report.state, Evidence.REPORTED, now)
        elif report.state is LossState.CONFIRMED and now - loss.changed_at > REPORT_FOR_S:
            loss.is_disputed = True
            loss.changed_at = now
            self._changed[report.content, report.target] = loss

    def _advance_at(
        self, target: int, since: float, state: LossState, evidence: Evidence, now: float
    ) -> None:
        """Advance the losses at a server that are older than an attempt begun at ``since``."""
        for content in tuple(self._contents_by_target.get(target, ())):
            if self._by_content[content].by_target[target].at < since:
                self._advance(content, target, state, evidence, now)

    def _advance(
        self, content: int, target: int, state: LossState, evidence: Evidence, now: float
    ) -> None:
        suspect = self._by_content[content]
        loss = suspect.by_target[target]
        if loss.advance(state, now):
            # Single losses are frequent while answers get lost, so they are not logged.
            if len(suspect.by_target) >= MIN_LOSSES_TO_CHECK:
                logs.event(
                    "loss-settled",
                    content=f"{content:016x}",
                    server_number=f"{target:08x}",
                    state=state.name.lower(),
                    evidence=evidence.value,
                )
            self._changed.pop((content, target), None)
            self._changed[content, target] = loss
            self._update_suspension(content, suspect)

    def _drop_oldest(self) -> None:
        """Drop the request with the oldest losses, a suspended one only if there is no other."""
        oldest = min(
            self._by_content,
            key=lambda content: (content in self._suspended, self._by_content[content].latest()),
        )
        for target in list(self._by_content[oldest].by_target):
            self._drop_loss(oldest, target)

    def _drop_excess_loss(self, content: int, suspect: _Suspect, newest: int) -> None:
        """Drop one loss of a request, a confirmed one only if there is no other."""
        dropped, loss = min(
            ((target, loss) for target, loss in suspect.by_target.items() if target != newest),
            key=lambda item: (item[1].state is LossState.CONFIRMED, item[1].at),
        )
        logs.event(
            "loss-dropped",
            content=f"{content:016x}",
            server_number=f"{dropped:08x}",
            state=loss.state.name.lower(),
        )
        self._drop_loss(content, dropped)

    def _drop_loss(self, content: int, target: int) -> None:
        suspect = self._by_content[content]
        del suspect.by_target[target]
        self._changed.pop((content, target), None)
        contents = self._contents_by_target[target]
        contents.discard(content)
        if not contents:
            del self._contents_by_target[target]
        self._update_suspension(content, suspect)
        if not suspect.by_target:
            del self._by_content[content]

    def _update_suspension(self, content: int, suspect: _Suspect) -> None:
        is_suspended = suspect.is_suspended()
        if is_suspended == (content in self._suspended):
            return
        if is_suspended:
            self._suspended[content] = suspect
            suspect.was_suspended = True
        else:
            del self._suspended[content]
        losses = suspect.confirmed().values()
        logs.event(
            "request-suspended" if is_suspended else "request-resumed",
            content=f"{content:016x}",
            callers=",".join(sorted({f"{loss.caller:08x}" for loss in losses})) or None,
            losses=len(losses),
        )


def _report(content: int, target: int, loss: _KnownLoss, now: float) -> Loss:
    return Loss(content, target, loss.caller, now - loss.at, loss.state)

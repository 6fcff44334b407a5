"""A state machine over notices of servers: limits, leaving and backoff, in any order."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT, ReportedLimit, ReportedNotices, ServerNotice
from briarspur.gateway.target import Target
from briarspur.gateway.work import Attempt
from tests.gateway.samples import begun, registration, steering

WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
SERVERS = 3
NAMES = st.sampled_from([f"t-{number}" for number in range(SERVERS)])
NOTICES = st.builds(
    ServerNotice,
    limit_per_s=st.sampled_from([None, NO_LIMIT, 0.0, 1.0, 3.0]),
    leaving=st.sampled_from([False, False, False, True]),
    backoff=st.sampled_from([0.0, 0.0, 0.3, 2.0]),
)


class NoticeMachine(RuleBasedStateMachine):
    """One entry and three servers; the model keeps only the latest notices and their times."""

    @initialize()
    def start(self) -> None:
        """Begin with servers that have sent no notices."""
        self.now = 100.0
        self.steering = steering(SERVERS, slots=4)
        self.count = 0
        self.running: list[Attempt] = []
        self.leaving: set[int] = set()
        self.backoff_until: dict[int, float] = {}
        self.limits: dict[int, list[tuple[float, float]]] = {}
        self.sent: dict[int, list[float]] = {}

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0]))
    def time_passes(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds
        self.steering.limits.forget(self.now)

    @rule(number=st.integers(1, 12))
    def requests_arrive(self, number: int) -> None:
        """Send some requests at the same time."""
        for _ in range(number):
            self.count += 1
            work = begun(self.steering, self.now, request_id=f"r-{self.count}", key=None)
            step = self.steering.next_attempt(work, self.now)
            if isinstance(step, Attempt):
                work.sent += 1
                self._check(step.target)
                self.running.append(step)

    @rule(notice=NOTICES, outcome=st.sampled_from([Outcome.ANSWERED, Outcome.REJECTED]))
    def a_response_arrives(self, notice: ServerNotice, outcome: Outcome) -> None:
        """End the oldest attempt with a response, and retry a rejected request."""
        if not self.running:
            return
        attempt = self.running.pop(0)
        self.steering.record_notice(attempt.target, notice, self.now)
        self._model(attempt.target.number, notice)
        self.steering.attempt_ended(attempt, outcome, self.now)
        if outcome is Outcome.REJECTED:
            again = self.steering.retry(attempt.work, outcome, self.now)
            if isinstance(again, Attempt):
                self._check(again.target)
                self.running.append(again)

    @rule(limit=st.sampled_from([0.0, 1.0, 3.0]))
    def all_servers_are_overloaded(self, limit: float) -> None:
        """Send many requests, and let every response advertise a limit."""
        for _ in range(60):
            self.time_passes(0.1)
            self.requests_arrive(3)
            while self.running:
                self.a_response_arrives(ServerNotice(limit), Outcome.ANSWERED)

    @rule(name=NAMES, limit=st.sampled_from([NO_LIMIT, 1.0]), leaves=st.booleans())
    def another_entry_reports(self, name: str, limit: float, leaves: bool) -> None:
        """Record notices that another entry received half a second ago."""
        target = self._target(name)
        reported = (ReportedLimit(target.number, limit, 0.5, 0.5),)
        leaving = (target.number,) if leaves else ()
        steps = self.limits.get(target.number, [])
        is_newer = not steps or steps[-1][0] < self.now - 0.7
        self.steering.record_notices(
            ReportedNotices(reported if is_newer else (), leaving), self.now
        )
        self._model(target.number, ServerNotice(limit if is_newer else None, leaves))

    @rule(name=NAMES, restarts=st.booleans())
    def a_registration_arrives(self, name: str, restarts: bool) -> None:
        """Renew a registration, or restart the server as a new incarnation."""
        born = self._target(name).registration.born + int(restarts)
        self.steering.targets.registered(registration(name, born=born, slots=4), self.now)

    @invariant()
    def a_leaving_server_takes_no_work(self) -> None:
        """No registration and no response makes it available again."""
        for target in self.steering.targets.by_number.values():
            if target.number in self.leaving:
                assert not self.steering.targets.accepts_work(target, self.now)

    def _check(self, target: Target) -> None:
        number = target.number
        assert number not in self.leaving, "sent to a server that is leaving"
        assert (
            self.backoff_until.get(number, 0.0) <= self.now
        ), "sent to a server that asked for backoff"
        sent = self.sent.setdefault(number, [])
        sent.append(self.now)
        steps = self.limits.get(number, [])
        begin = self.now - WINDOW
        if steps and steps[0][0] <= begin:
            highest = max(per_s for at, per_s in _within(steps, begin))
            count = sum(at > begin for at in sent)
            assert count <= FACTOR * WINDOW * max(0.25, highest) + SLACK, "more than the limit"

    def _model(self, number: int, notice: ServerNotice) -> None:
        if notice.leaving:
            self.leaving.add(number)
        end = self.now + notice.backoff
        self.backoff_until[number] = max(self.backoff_until.get(number, 0.0), end)
        if notice.limit_per_s is not None:
            self.limits.setdefault(number, []).append((self.now, notice.limit_per_s))

    def _target(self, name: str) -> Target:
        target = self.steering.targets.get(name)
        assert target is not None
        return target


def _within(steps: list[tuple[float, float]], begin: float) -> list[tuple[float, float]]:
    """Return the steps of a limit that applied at any time after a moment."""
    first = max(index for index, (at, _) in enumerate(steps) if at <= begin)
    return steps[first:]


class NoticeMachineTest(unittest.TestCase):
    """Runs the state machine with fixed examples."""

    def test_notices_are_obeyed_in_any_order(self) -> None:
        from hypothesis.stateful import run_state_machine_as_test

        fixed = settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=25,
            stateful_step_count=40,
        )
        run_state_machine_as_test(NoticeMachine, settings=fixed)  # type: ignore[no-untyped-call]

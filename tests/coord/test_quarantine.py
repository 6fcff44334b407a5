"""Tests of the quarantine of requests that crash servers."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from briarspur.coord.invariants import invariants
from briarspur.coord.quarantine import Admission, Quarantine, QuarantineSettings, Verdict

POISON, OTHER = b"poison", b"other"
MEMBERS = ["entry-1", "entry-2", "entry-3"]


class QuarantineTest(unittest.TestCase):
    """The quarantine of one member."""

    def setUp(self) -> None:
        invariants.strict = True
        self.quarantine = Quarantine()

    def test_request_alone_at_its_second_crash_is_quarantined(self) -> None:
        """One request must not crash all servers of a service within a minute.

        The request crashes each server that runs it, and its caller sends it again each time.
        """
        self.quarantine.record_crash("t1", [POISON], 0.0)
        self.assertIs(self.quarantine.admit(POISON, 1.0), Admission.RUN_ISOLATED)
        self.quarantine.record_crash("t2", [POISON], 1.0)
        self.assertIs(self.quarantine.admit(POISON, 2.0), Admission.REFUSE)

    def test_suspects_of_one_crash_run_isolated_one_at_a_time(self) -> None:
        for target in ("t1", "t2"):
            self.quarantine.record_crash(target, [POISON, OTHER], 0.0)
        self.assertIs(self.quarantine.admit(OTHER, 1.0), Admission.RUN_ISOLATED)
        self.assertTrue(self.quarantine.begin_isolated_run(OTHER, "t3", 1.0))
        self.assertFalse(self.quarantine.begin_isolated_run(POISON, "t4", 1.0), "one at a time")
        self.quarantine.record_answer(OTHER)
        self.quarantine.end_isolated_run(OTHER, "t3")
        self.quarantine.record_answer(OTHER)
        self.assertIs(self.quarantine.admit(OTHER, 2.0), Admission.RUN)
        self.assertTrue(self.quarantine.begin_isolated_run(POISON, "t3", 2.0))
        self.quarantine.record_crash("t3", [POISON], 2.0)
        self.assertIs(self.quarantine.admit(POISON, 3.0), Admission.REFUSE)

    def test_verdicts_expire_by_the_receivers_clock(self) -> None:
        other = Quarantine()
        self.quarantine.record_crash("t1", [POISON], 0.0)
        self.quarantine.record_crash("t2", [POISON], 0.0)
        for verdict in self.quarantine.verdicts(100.0):
            other.merge_verdict(verdict, 5_000.0)
        self.assertIs(other.admit(POISON, 5_499.0), Admission.REFUSE)
        self.assertIs(other.admit(POISON, 5_500.0), Admission.RUN)

    def test_echoed_verdict_does_not_extend_the_lifetime(self) -> None:
        self.quarantine.record_crash("t1", [POISON], 0.0)
        echo = Verdict(POISON, 1, False, age=0.0, lifetime=600.0)
        self.quarantine.merge_verdict(echo, 300.0)
        self.assertIs(self.quarantine.admit(POISON, 600.0), Admission.RUN)

    def test_number_of_records_is_bounded(self) -> None:
        small = Quarantine(QuarantineSettings(max_requests=2))
        small.record_crash("t1", [POISON], 0.0)
        small.record_crash("t2", [POISON], 1.0)
        for n in range(5):
            small.record_crash("t3", [f"{n}".encode(), b"x"], 2.0 + n)
        self.assertEqual(len(small.verdicts(9.0)), 2)
        self.assertIs(small.admit(POISON, 9.0), Admission.REFUSE)


class PoisonMachine(RuleBasedStateMachine):
    """A caller sends a poison request to any member; verdicts are late, lost or duplicated.

    Guards against the crash of all servers of a service. It would occur if a member ran a request
    again after it was alone at a second crash, or ran two copies of a suspect at the same time.
    """

    @initialize()
    def begin(self) -> None:
        invariants.strict = True
        self.now = 0.0
        self.members = {member: Quarantine() for member in MEMBERS}
        self.running: list[tuple[str, int, bool]] = []
        self.crash_counts: Counter[str] = Counter()
        self.copies_before: Counter[str] = Counter()
        self.verdicts: list[Verdict] = []
        self.sent = 0

    @rule(member=st.sampled_from(MEMBERS), has_company=st.booleans())
    def send(self, member: str, has_company: bool) -> None:
        quarantine = self.members[member]
        admission = quarantine.admit(POISON, self.now)
        if admission is Admission.REFUSE:
            return
        if admission is Admission.RUN_ISOLATED:
            if not quarantine.begin_isolated_run(POISON, f"target-{self.sent + 1}", self.now):
                return
            has_company = False
        self.sent += 1
        self.running.append((member, self.sent, has_company))
        if admission is Admission.RUN:
            here = sum(1 for m, _, _ in self.running if m == member)
            self.copies_before[member] = max(self.copies_before[member], here)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def crash(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(self.running))
        self.running.remove(run)
        member, number, has_company = run
        suspects = [POISON, OTHER] if has_company else [POISON]
        self.crash_counts[member] += 1
        self.verdicts += self.members[member].record_crash(f"target-{number}", suspects, self.now)

    @precondition(lambda self: self.verdicts)
    @rule(data=st.data(), member=st.sampled_from(MEMBERS), keep=st.booleans())
    def deliver(self, data: st.DataObject, member: str, keep: bool) -> None:
        verdict = data.draw(st.sampled_from(self.verdicts))
        if not keep:
            self.verdicts.remove(verdict)
        self.members[member].merge_verdict(verdict, self.now)

    @rule(member=st.sampled_from(MEMBERS))
    def answer_other(self, member: str) -> None:
        self.members[member].record_answer(OTHER)

    @invariant()
    def crashes_are_bounded(self) -> None:
        bound = sum(1 + max(1, self.copies_before[member]) for member in self.crash_counts)
        assert self.crash_counts.total() <= bound, (self.crash_counts, self.copies_before)


class PoisonMachineTest(unittest.TestCase):
    """Run the machine with a fixed seed, and a sequential caller explicitly."""

    def test_crashes_stay_within_the_bound(self) -> None:
        run_state_machine_as_test(
            PoisonMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                database=None,
                max_examples=800,
                stateful_step_count=30,
            ),
        )

    def test_two_crashes_in_total_when_verdicts_arrive_before_repeats(self) -> None:
        members = {member: Quarantine() for member in MEMBERS}
        crash_count = 0
        for n, member in enumerate(MEMBERS * 4):
            if members[member].admit(POISON, float(n)) is Admission.REFUSE:
                continue
            crash_count += 1
            for verdict in members[member].record_crash(f"t{n}", [POISON], float(n)):
                for other in members.values():
                    other.merge_verdict(verdict, float(n))
        self.assertEqual(crash_count, 2)

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
    """One member's view."""

    def setUp(self) -> None:
        invariants.strict = True
        self.quarantine = Quarantine()

    def test_alone_at_a_second_crash_is_quarantined(self) -> None:
        """Every server of a service goes down, one after the other, within a minute.

        One request crashes each server that runs it, and its caller sends it again each time.
        """
        self.quarantine.crashed("t1", [POISON], 0.0)
        self.assertIs(self.quarantine.admit(POISON, 1.0), Admission.RUN_ALONE)
        self.quarantine.crashed("t2", [POISON], 1.0)
        self.assertIs(self.quarantine.admit(POISON, 2.0), Admission.REFUSE)

    def test_company_at_a_crash_is_separated(self) -> None:
        for target in ("t1", "t2"):
            self.quarantine.crashed(target, [POISON, OTHER], 0.0)
        self.assertIs(self.quarantine.admit(OTHER, 1.0), Admission.RUN_ALONE)
        self.assertTrue(self.quarantine.begin_alone(OTHER, "t3", 1.0))
        self.assertFalse(self.quarantine.begin_alone(POISON, "t4", 1.0), "one at a time")
        self.quarantine.innocent(OTHER)
        self.quarantine.end_alone(OTHER, "t3")
        self.quarantine.innocent(OTHER)
        self.assertIs(self.quarantine.admit(OTHER, 2.0), Admission.RUN)
        self.assertTrue(self.quarantine.begin_alone(POISON, "t3", 2.0))
        self.quarantine.crashed("t3", [POISON], 2.0)
        self.assertIs(self.quarantine.admit(POISON, 3.0), Admission.REFUSE)

    def test_verdicts_expire_on_the_receivers_clock(self) -> None:
        other = Quarantine()
        self.quarantine.crashed("t1", [POISON], 0.0)
        self.quarantine.crashed("t2", [POISON], 0.0)
        for verdict in self.quarantine.verdicts(100.0):
            other.learn(verdict, 5_000.0)
        self.assertIs(other.admit(POISON, 5_499.0), Admission.REFUSE)
        self.assertIs(other.admit(POISON, 5_500.0), Admission.RUN)

    def test_an_echo_does_not_prolong_a_verdict(self) -> None:
        self.quarantine.crashed("t1", [POISON], 0.0)
        echo = Verdict(POISON, 1, False, age=0.0, lifetime=600.0)
        self.quarantine.learn(echo, 300.0)
        self.assertIs(self.quarantine.admit(POISON, 600.0), Admission.RUN)

    def test_memory_is_bounded(self) -> None:
        small = Quarantine(QuarantineSettings(remembered=2))
        small.crashed("t1", [POISON], 0.0)
        small.crashed("t2", [POISON], 1.0)
        for n in range(5):
            small.crashed("t3", [f"{n}".encode(), b"x"], 2.0 + n)
        self.assertEqual(len(small.verdicts(9.0)), 2)
        self.assertIs(small.admit(POISON, 9.0), Admission.REFUSE)


class PoisonMachine(RuleBasedStateMachine):
    """A caller sends a poison request through any member; verdicts are late, lost or doubled.

    A user sees all servers of a service crash. It would come from a member that lets a request run
    again after it was alone at a second crash, or that runs two copies of a suspect at once.
    """

    @initialize()
    def begin(self) -> None:
        invariants.strict = True
        self.now = 0.0
        self.members = {member: Quarantine() for member in MEMBERS}
        self.running: list[tuple[str, int, bool]] = []
        self.kills: Counter[str] = Counter()
        self.copies_before: Counter[str] = Counter()
        self.verdicts: list[Verdict] = []
        self.sent = 0

    @rule(member=st.sampled_from(MEMBERS), company=st.booleans())
    def send(self, member: str, company: bool) -> None:
        quarantine = self.members[member]
        admission = quarantine.admit(POISON, self.now)
        if admission is Admission.REFUSE:
            return
        if admission is Admission.RUN_ALONE:
            if not quarantine.begin_alone(POISON, f"target-{self.sent + 1}", self.now):
                return
            company = False
        self.sent += 1
        self.running.append((member, self.sent, company))
        if admission is Admission.RUN:
            here = sum(1 for m, _, _ in self.running if m == member)
            self.copies_before[member] = max(self.copies_before[member], here)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def crash(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(self.running))
        self.running.remove(run)
        member, number, company = run
        suspects = [POISON, OTHER] if company else [POISON]
        self.kills[member] += 1
        self.verdicts += self.members[member].crashed(f"target-{number}", suspects, self.now)

    @precondition(lambda self: self.verdicts)
    @rule(data=st.data(), member=st.sampled_from(MEMBERS), keep=st.booleans())
    def deliver(self, data: st.DataObject, member: str, keep: bool) -> None:
        verdict = data.draw(st.sampled_from(self.verdicts))
        if not keep:
            self.verdicts.remove(verdict)
        self.members[member].learn(verdict, self.now)

    @rule(member=st.sampled_from(MEMBERS))
    def answer_other(self, member: str) -> None:
        self.members[member].innocent(OTHER)

    @invariant()
    def kills_are_bounded(self) -> None:
        bound = sum(1 + max(1, self.copies_before[member]) for member in self.kills)
        assert self.kills.total() <= bound, (self.kills, self.copies_before)


class PoisonMachineTest(unittest.TestCase):
    """Run the machine with a fixed seed, and the sequential caller by hand."""

    def test_kills_stay_within_the_bound(self) -> None:
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

    def test_two_servers_in_all_when_verdicts_arrive_first(self) -> None:
        members = {member: Quarantine() for member in MEMBERS}
        kills = 0
        for n, member in enumerate(MEMBERS * 4):
            if members[member].admit(POISON, float(n)) is Admission.REFUSE:
                continue
            kills += 1
            for verdict in members[member].crashed(f"t{n}", [POISON], float(n)):
                for other in members.values():
                    other.learn(verdict, float(n))
        self.assertEqual(kills, 2)

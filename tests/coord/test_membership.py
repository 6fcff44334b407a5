"""Tests of membership over a small network in memory."""

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from briarspur.coord.address import Address
from briarspur.coord.invariants import invariants
from briarspur.coord.members import (
    Member,
    MembershipSettings,
    MemberState,
    MemberUpdate,
    OutgoingProbe,
    Probe,
    Reply,
)
from briarspur.coord.membership import Membership

SETTINGS = MembershipSettings(gone_retention=40.0)
REGIONS = ["north", "south"]


def member(number: int, incarnation: int = 0) -> Member:
    region = REGIONS[number % 2]
    name = f"entry-{number}"
    port = 1_000 + number
    return Member(name, f"{name}/{incarnation}", region, f"{region}-a", "127.0.0.1", 1, 2, port)


class Network:
    """Members whose links may be cut; each period ticks every running member once."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.started = 0
        self.members: dict[int, Membership] = {}
        self.cut: set[frozenset[int]] = set()
        self.loss = 0.0
        for number in range(count):
            self.start(number)
        self.listed = {member(number).address for number in range(count)}
        self.read_list()

    def start(self, number: int) -> None:
        self.started += 1
        rng = random.Random(self.started)
        own_member = member(number, self.started)
        self.members[number] = Membership(own_member, rng, SETTINGS, self.started, self.now)
        if len(self.members) > 1:
            self.read_list()

    def read_list(self) -> None:
        for each in self.members.values():
            each.set_listed_addresses(getattr(self, "listed", ()), self.now)

    def reaches(self, one: int, other: int) -> bool:
        running = one in self.members and other in self.members
        lost = self.random.random() < self.loss
        return running and frozenset((one, other)) not in self.cut and not lost

    def call(self, sender: int, out: OutgoingProbe) -> Reply | None:
        receiver = out.address.port - 1_000
        if not self.reaches(sender, receiver):
            return None
        there = self.members[receiver]
        updates = there.on_probe(Probe(self.name(sender), out.updates), self.now)
        acknowledged = True
        if out.is_indirect:
            target = there.member(out.receiver)
            acknowledged = target is not None and self.reaches(receiver, target.peer_port - 1_000)
        return Reply(there.own_member.member_id, out.number, acknowledged, updates)

    def name(self, number: int) -> str:
        return f"entry-{number}"

    def tick(self, number: int) -> None:
        here = self.members[number]
        waiting = here.tick(self.now)
        while waiting:
            out = waiting.pop()
            reply = self.call(number, out)
            if reply is None:
                waiting += here.on_timeout(out.number, self.now)
            else:
                waiting += here.on_reply(reply, self.now)

    def run(self, periods: int) -> None:
        for _ in range(periods):
            self.now += 1.0
            for number in sorted(self.members):
                self.tick(number)

    def views(self) -> set[tuple[str, ...]]:
        return {tuple(m.member_id for m in each.live()) for each in self.members.values()}


class MembershipTest(unittest.TestCase):
    """Heartbeats, suspicion and the VM list."""

    def setUp(self) -> None:
        invariants.strict = True
        self.network = Network(8)
        self.network.run(12)
        self.all = tuple(f"entry-{n}" for n in range(8))

    def test_members_find_each_other_through_the_vm_list(self) -> None:
        self.assertEqual(self.network.views(), {self.all})

    def test_a_killed_member_leaves_the_view_although_it_is_listed(self) -> None:
        del self.network.members[3]
        self.network.run(15)
        self.assertEqual(self.network.views(), {tuple(n for n in self.all if n != "entry-3")})

    def test_a_new_process_replaces_the_old_one_with_the_same_id(self) -> None:
        old = self.network.members[3].own_member.incarnation
        self.network.start(3)
        self.network.run(20)
        self.assertEqual(self.network.views(), {self.all})
        new = self.network.members[3].own_member.incarnation
        for each in self.network.members.values():
            self.assertIsNone(each.by_incarnation(old))
            self.assertIsNotNone(each.by_incarnation(new))

    def test_a_new_process_with_a_lower_incarnation_number_is_accepted(self) -> None:
        """Guard against a replaced entry that gets no callers for ten minutes.

        Its clock was behind that of the old process, so the others had an update for its id with a
        higher incarnation number than its initial one.
        """
        self.network.started = -50
        self.network.start(3)
        self.network.run(20)
        new = self.network.members[3].own_member.incarnation
        for each in self.network.members.values():
            self.assertIsNotNone(each.by_incarnation(new))

    def test_an_unlisted_member_stays_while_its_heartbeats_arrive(self) -> None:
        """Guard against healthy entries that are dropped from every look-up together.

        The VM list lagged, or the response contained only a part of it.
        """
        self.network.listed = {member(n).address for n in range(4)}
        self.network.read_list()
        self.network.run(20)
        self.assertEqual(self.network.views(), {self.all})
        self.network.run(300)
        self.assertNotIn("entry-7", [m.member_id for m in self.network.members[0].live()])

    def test_an_isolated_member_declares_nobody_gone(self) -> None:
        """Guard against servers that get twice the work of their slots during a network partition.

        Each side would take over the servers of the other. A member that receives nothing from its
        region can't distinguish their failure from its own isolation.
        """
        self.network.cut = {frozenset((0, n)) for n in range(1, 8)}
        self.network.run(30)
        isolated = self.network.members[0]
        self.assertTrue(isolated.isolated(self.network.now))
        self.assertEqual(len(isolated.live()), 8)
        self.assertEqual(len(self.network.members[1].live()), 7)
        self.network.cut.clear()
        self.network.run(30)
        self.assertFalse(isolated.isolated(self.network.now))
        self.assertEqual(self.network.views(), {self.all})

    def test_views_recover_after_a_partition_between_regions(self) -> None:
        self.network.cut = {frozenset((a, b)) for a in range(0, 8, 2) for b in range(1, 8, 2)}
        self.network.run(25)
        self.assertEqual({len(view) for view in self.network.views()}, {4})
        self.network.cut.clear()
        self.network.run(40)
        self.assertEqual(self.network.views(), {self.all})

    def test_one_broken_link_causes_no_suspicion(self) -> None:
        """Guard against two healthy entries that repeatedly drop each other.

        Only the link between the two is broken; all others reach both.
        """
        self.network.cut = {frozenset((0, 1))}
        for _ in range(60):
            self.network.run(1)
            states = {
                each.state(name) for each in self.network.members.values() for name in self.all
            }
            self.assertEqual(states, {MemberState.ALIVE})

    def test_a_member_considered_gone_learns_it_when_it_probes(self) -> None:
        """Guard against an entry that gets no callers for minutes after a partition.

        It can't refute an update that it hasn't received, and without a rule it receives the update
        only by chance.
        """
        here = Membership(member(0), random.Random(1), SETTINGS)
        alive = [MemberUpdate(member(n), 1, MemberState.ALIVE) for n in range(1, 40)]
        here.apply([*alive, MemberUpdate(member(5), 1, MemberState.GONE)], 0.0)
        for _ in range(50):
            here.on_probe(Probe("entry-7", ()), 1.0)
        for _ in range(5):
            updates = here.on_probe(Probe("entry-5", ()), 1.0)
            self.assertIn(MemberUpdate(member(5), 1, MemberState.GONE), updates)

    def test_leaving_is_advertised_and_leaving_members_still_answer(self) -> None:
        self.network.members[5].leave(self.network.now)
        self.network.run(6)
        for each in self.network.members.values():
            self.assertNotIn("entry-5", [m.member_id for m in each.live()])
            self.assertIsNotNone(each.member("entry-5"))

    def test_message_loss_removes_no_member(self) -> None:
        self.network.loss = 0.15
        for _ in range(60):
            self.network.run(1)
            for each in self.network.members.values():
                self.assertGreaterEqual(len(each.live()), 7)
        self.network.loss = 0.0
        self.network.run(20)
        self.assertEqual(self.network.views(), {self.all})

    def test_the_view_version_changes_only_with_the_members(self) -> None:
        versions = [each.view_version for each in self.network.members.values()]
        self.network.run(20)
        self.assertEqual(versions, [each.view_version for each in self.network.members.values()])

    def test_updates_loaded_at_the_start_are_not_queued(self) -> None:
        """Guard against a new entry of a large fleet that gets no callers for minutes.

        The update that it has started would be queued behind a thousand that all others know.
        """
        fresh = Membership(member(0), random.Random(1), SETTINGS)
        updates = [MemberUpdate(member(n), 1, MemberState.ALIVE) for n in range(1, 1_000)]
        fresh.load_snapshot(updates, 0.0)
        self.assertEqual(len(fresh.live()), 1_000)
        self.assertEqual(list(fresh.table.pending_ids), ["entry-0"])

    def test_messages_do_not_grow_with_the_number_of_members(self) -> None:
        big = Membership(member(0), random.Random(1), SETTINGS)
        updates = [MemberUpdate(member(n), 1, MemberState.ALIVE) for n in range(1, 1_700)]
        big.apply(updates, 0.0)
        big.set_listed_addresses({Address("127.0.0.1", 1_000 + n) for n in range(1_700)}, 0.0)
        for period in range(50):
            probes = big.tick(float(period))
            self.assertLessEqual(len(probes), 2)
            self.assertLessEqual(max(len(probe.updates) for probe in probes), SETTINGS.max_updates)


class MembershipMachine(RuleBasedStateMachine):
    """Members are killed, replaced and cut off, and the VM list is wrong; then the faults end.

    Guards against look-ups that return dead entries, or omit live ones, long after a fault, because
    an update can't be refuted or is revived by old ones.
    """

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        invariants.strict = True
        self.network = Network(6, seed)
        self.network.run(6)

    @rule(periods=st.integers(1, 8))
    def run_periods(self, periods: int) -> None:
        self.network.run(periods)

    @rule(number=st.integers(0, 5))
    def kill(self, number: int) -> None:
        if len(self.network.members) > 2:
            self.network.members.pop(number, None)

    @rule(number=st.integers(0, 5))
    def replace(self, number: int) -> None:
        self.network.start(number)

    @rule(one=st.integers(0, 5), other=st.integers(0, 5))
    def cut_or_mend(self, one: int, other: int) -> None:
        if one != other:
            self.network.cut ^= {frozenset((one, other))}

    @rule(loss=st.sampled_from([0.0, 0.3]))
    def lose(self, loss: float) -> None:
        self.network.loss = loss

    @rule(numbers=st.sets(st.integers(0, 5)))
    def misread_list(self, numbers: set[int]) -> None:
        for each in self.network.members.values():
            each.set_listed_addresses({member(n).address for n in numbers}, self.network.now)

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.network.cut.clear()
        self.network.loss = 0.0
        self.network.listed = {member(n).address for n in self.network.members}
        self.network.read_list()
        self.network.run(40)
        running = tuple(f"entry-{n}" for n in sorted(self.network.members))
        assert self.network.views() == {running}, (running, self.network.views())


class MembershipMachineTest(unittest.TestCase):
    """Run the machine with a fixed seed."""

    def test_views_are_correct_once_faults_end(self) -> None:
        run_state_machine_as_test(
            MembershipMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                database=None,
                max_examples=60,
                stateful_step_count=25,
            ),
        )

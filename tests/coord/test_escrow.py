"""Tests of escrow accounts: the sum over all members never exceeds the limit."""

import unittest
from dataclasses import dataclass, replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from briarspur.coord.escrow import Account, EscrowSettings, base_shares
from briarspur.coord.invariants import invariants

LIMIT = 7
LENGTHS = [0.2, 1.0, 3.9, 6.0]
MEMBERS = ["entry-1", "entry-2", "entry-3"]
TIMES = EscrowSettings(
    margin=0.5, max_drift=0.05, max_use=6.0, max_loan=4.0, propagation=2.0, lendable_share=0.7
)
FIXED = settings(
    derandomize=True, deadline=None, database=None, max_examples=1000, stateful_step_count=25
)


class BaseSharesTest(unittest.TestCase):
    """Shares add up to the limit."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.integers(0, 5_000), st.integers(1, 60))
    def test_sum_is_exactly_the_limit(self, limit: int, count: int) -> None:
        shares = base_shares(limit, [f"entry-{n}" for n in range(count)])
        self.assertEqual(sum(shares.values()), limit)
        self.assertLessEqual(max(shares.values()) - min(shares.values()), 1)


class AccountTest(unittest.TestCase):
    """One account, or a lender and a borrower."""

    def setUp(self) -> None:
        invariants.strict = True
        self.lender = Account("in-flight/north", 6, settings=TIMES)
        self.borrower = Account("in-flight/north", 1, settings=TIMES)

    def test_lending_subtracts_before_the_reply_is_sent(self) -> None:
        self.assertEqual(self.lender.lend("t1", 3, 4.0, now=0.0), 3)
        self.assertEqual(self.lender.held(0.0), 3)
        self.assertEqual(self.lender.held(4.6), 3, "the margin has not passed")
        self.assertEqual(self.lender.held(4.8), 6)

    def test_a_repeated_request_gets_the_same_reply(self) -> None:
        self.lender.lend("t1", 3, 4.0, now=0.0)
        self.assertEqual(self.lender.lend("t1", 3, 4.0, now=1.0), 3)
        self.assertEqual(self.lender.held(1.0), 3)

    def test_a_duplicated_reply_is_added_once(self) -> None:
        for _ in range(2):
            self.borrower.add_borrowed("t1", 3, requested_at=0.0, lifetime=4.0)
        self.assertEqual(self.borrower.held(1.0), 4)
        self.assertEqual(self.borrower.held(4.0), 1)

    def test_work_on_a_loan_must_end_before_the_loan_expires(self) -> None:
        """Guard against a region that runs more requests than its limit, seconds after a burst.

        An entry borrowed units, started a long request on them, and the loan expired before the
        request ended. The lender then used the same units too.
        """
        self.borrower.add_borrowed("t1", 1, requested_at=0.0, lifetime=4.0)
        self.assertTrue(self.borrower.acquire(0.0, until=6.0))
        self.assertFalse(self.borrower.acquire(0.0, until=5.0))
        self.assertTrue(self.borrower.acquire(0.0, until=4.0))

    def test_units_in_use_are_not_lent(self) -> None:
        for _ in range(5):
            self.lender.acquire(0.0)
        self.assertEqual(self.lender.lend("t1", 3, 4.0, now=0.0), 1)

    def test_a_larger_share_applies_later_and_a_smaller_one_at_once(self) -> None:
        self.lender.set_base(8, now=0.0)
        self.lender.set_base(8, now=4.0)
        self.assertEqual(self.lender.held(8.3), 6)
        self.assertEqual(self.lender.held(8.5), 8)
        self.lender.set_base(2, now=9.0)
        self.assertEqual(self.lender.held(9.0), 2)

    def test_longer_work_is_allowed_once_all_members_know_the_new_maximum(self) -> None:
        """Guard against downloads refused as "region full" after an operator raised their deadline.

        The account still refused work longer than the longest deadline of the first policy.
        """
        self.lender.set_max_use(20.0, now=0.0)
        self.assertFalse(
            self.lender.acquire(1.0, until=12.0), "not all members know the new maximum"
        )
        self.assertTrue(self.lender.acquire(2.2, until=12.0))
        self.lender.set_base(8, now=3.0)
        self.assertEqual(self.lender.held(3.0 + 2.0 + 20.0), 6)
        self.assertEqual(self.lender.held(27.0), 8)

    def test_a_shorter_maximum_applies_at_once(self) -> None:
        self.lender.set_max_use(3.0, now=0.0)
        self.assertFalse(self.lender.acquire(0.0, until=5.0))
        self.assertTrue(self.lender.acquire(0.0, until=3.0))

    def test_a_fresh_process_withholds_what_the_last_one_may_have_lent(self) -> None:
        """Guard against a region that exceeds its limit just after an entry was replaced.

        The old process had lent units of its share; the new one has no record of the loan.
        """
        fresh = Account("in-flight/north", 6, now=100.0, settings=TIMES, fresh=True)
        self.assertEqual(fresh.held(100.0), 2)
        self.assertEqual(fresh.held(104.7), 6)


@dataclass
class Message:
    """A request or a reply in transit."""

    sender: str
    receiver: str
    transfer_id: str
    amount: int
    lifetime: float
    requested_at: float
    is_reply: bool = False


class EscrowMachine(RuleBasedStateMachine):
    """Three members with clocks of different rates, and an unreliable network.

    Messages are lost, delayed, duplicated and reordered. If two members counted the same unit of
    the limit as their own, the region would get more requests than it can serve.
    """

    @initialize(rates=st.permutations([0.98, 1.0, 1.02]))
    def begin(self, rates: list[float]) -> None:
        invariants.strict = True
        self.time = 0.0
        self.rates = dict(zip(MEMBERS, rates, strict=True))
        self.bases = [base_shares(LIMIT, MEMBERS)]
        self.published_at = 0.0
        self.known_version = dict.fromkeys(MEMBERS, 0)
        self.accounts = {
            m: Account("limit", base, settings=TIMES) for m, base in self.bases[0].items()
        }
        self.ends: dict[str, list[float]] = {m: [] for m in MEMBERS}
        self.messages: list[Message] = []
        self.edges: list[float] = []
        self.sent = 0

    def now(self, member: str) -> float:
        return 1_000.0 * (1 + MEMBERS.index(member)) + self.time * self.rates[member]

    def all_informed(self) -> bool:
        return set(self.known_version.values()) == {len(self.bases) - 1}

    def advance(self, seconds: float) -> None:
        """Advance time: work ends when due, and members learn a version within ``propagation``."""
        if not self.all_informed():
            seconds = min(seconds, max(0.0, self.published_at + TIMES.propagation - self.time))
        self.time += seconds
        for member, ends in self.ends.items():
            for end in [end for end in ends if end <= self.now(member)]:
                ends.remove(end)
                self.accounts[member].release(end)
        if self.time >= self.published_at + TIMES.propagation:
            for member in MEMBERS:
                self.learn_version(member)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 3.9, 8.0]))
    def pass_time(self, seconds: float) -> None:
        self.advance(seconds)

    @precondition(lambda self: self.edges)
    @rule(data=st.data(), beyond=st.sampled_from([0.001, 0.05]), members=st.permutations(MEMBERS))
    def pass_to_an_edge(self, data: st.DataObject, beyond: float, members: list[str]) -> None:
        """Advance to just after a loan's lifetime, or its expiry, on the lender's clock."""
        edge = data.draw(st.sampled_from(self.edges))
        self.edges.remove(edge)
        self.advance(max(0.0, edge + beyond - self.time))
        self.fill(1.0, members)

    @rule(member=st.sampled_from(MEMBERS), length=st.floats(0.01, 6.0))
    def take(self, member: str, length: float) -> None:
        until = self.now(member) + length
        if self.accounts[member].acquire(self.now(member), until):
            self.ends[member].append(until)

    @rule(length=st.sampled_from(LENGTHS), members=st.permutations(MEMBERS))
    def fill_all(self, length: float, members: list[str]) -> None:
        self.fill(length, members)

    def fill(self, length: float, members: list[str]) -> None:
        """Acquire all free units, one member after the other."""
        for member in members:
            until = self.now(member) + length
            while self.accounts[member].acquire(self.now(member), until):
                self.ends[member].append(until)

    @rule(member=st.sampled_from(MEMBERS))
    def release_all(self, member: str) -> None:
        for end in self.ends[member]:
            self.accounts[member].release(end)
        self.ends[member].clear()

    @rule(
        pair=st.permutations(MEMBERS),
        amount=st.integers(1, 3),
        lifetime=st.sampled_from([0.5, 4.0]),
        arrives=st.sampled_from(["nothing", "request", "both", "both"]),
        fill_for=st.sampled_from([None, *LENGTHS]),
    )
    def ask(
        self,
        pair: list[str],
        amount: int,
        lifetime: float,
        arrives: str,
        fill_for: float | None,
    ) -> None:
        sender, receiver = pair[:2]
        self.sent += 1
        transfer_id = f"{sender}/{self.sent}"
        message = Message(
            sender, receiver, transfer_id, amount, lifetime, requested_at=self.now(sender)
        )
        self.messages.append(message)
        if arrives != "nothing":
            self.handle(message)
        if arrives == "both":
            self.handle(self.messages[-1])
        if fill_for is not None:
            self.fill(fill_for, MEMBERS)

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data: st.DataObject, keep: bool) -> None:
        message = data.draw(st.sampled_from(self.messages))
        if not keep:
            self.messages.remove(message)
        self.handle(message)

    def handle(self, message: Message) -> None:
        account = self.accounts[message.receiver]
        if message.is_reply:
            account.add_borrowed(
                message.transfer_id, message.amount, message.requested_at, message.lifetime
            )
            return
        now = self.now(message.receiver)
        granted = account.lend(message.transfer_id, message.amount, message.lifetime, now)
        rate = self.rates[message.receiver]
        returned = message.lifetime * (1.0 + TIMES.max_drift) + TIMES.margin
        new = [self.time + message.lifetime / rate, self.time + returned / rate]
        self.edges = [*self.edges, *new][-4:]
        reply = replace(
            message,
            sender=message.receiver,
            receiver=message.sender,
            amount=granted,
            is_reply=True,
        )
        self.messages.append(reply)

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.messages.remove(data.draw(st.sampled_from(self.messages)))

    @rule(pair=st.permutations(MEMBERS), tilt=st.integers(1, 2))
    def publish_shares(self, pair: list[str], tilt: int) -> None:
        """Move units from one member to another, once all know the previous version."""
        if not self.all_informed():
            return
        shares = base_shares(LIMIT, MEMBERS)
        shares[pair[0]] -= tilt
        shares[pair[1]] += tilt
        self.bases.append(shares)
        self.published_at = self.time

    @rule(member=st.sampled_from(MEMBERS))
    def learn_version(self, member: str) -> None:
        self.known_version[member] = len(self.bases) - 1
        self.accounts[member].set_base(self.bases[-1][member], self.now(member))

    @precondition(lambda self: len(self.bases) == 1)
    @rule(member=st.sampled_from(MEMBERS))
    def replace_process(self, member: str) -> None:
        """Kill the process; its connections break, and a fresh one replaces it."""
        self.ends[member].clear()
        self.accounts[member] = Account(
            "limit", self.bases[0][member], now=self.now(member), settings=TIMES, fresh=True
        )
        self.messages = [m for m in self.messages if not (m.is_reply and m.receiver == member)]
        self.fill(1.0, MEMBERS)

    @invariant()
    def sum_in_use_is_within_the_limit(self) -> None:
        in_use = sum(len(ends) for ends in self.ends.values())
        assert in_use <= LIMIT, f"{in_use} in use, limit {LIMIT}"


class EscrowMachineTest(unittest.TestCase):
    """Run the machine with a fixed seed, and one loan with times drawn near its expiry."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=600)
    @given(
        st.permutations([0.98, 1.0, 1.02]),
        st.permutations(MEMBERS),
        st.sampled_from([0.5, 4.0]),
        st.sampled_from(LENGTHS),
        st.lists(st.tuples(st.integers(0, 1), st.sampled_from([0.001, 0.05])), max_size=2),
    )
    def test_a_loan_ends_before_it_returns(self, rates, pair, lifetime, length, steps) -> None:
        """All members are full, a loan ends, and its giver uses the part again."""
        machine = EscrowMachine()
        machine.begin(rates)
        machine.ask(pair, 3, lifetime, "both", length)
        edges = machine.edges
        for index, beyond in steps:
            machine.advance(max(0.0, edges[index] + beyond - machine.time))
            machine.fill(1.0, MEMBERS)
            machine.sum_in_use_is_within_the_limit()

    def test_sum_never_exceeds_the_limit(self) -> None:
        run_state_machine_as_test(EscrowMachine, settings=FIXED)

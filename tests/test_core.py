"""Tests of the decision core."""

import random
import unittest
from typing import Any

from briarspur.codes import Code
from briarspur.coord.invariants import invariants
from briarspur.core import Core, CoreSettings
from briarspur.exchange import LEAVING_LIFETIME_S, LeavingNotice, News
from briarspur.members import MemberView
from briarspur.messages import Begin, Dispatch, Failure
from briarspur.target import OwnTarget
from tests.bench import Bench, make_core, make_view
from tests.examples import small_policy


class ServeTest(unittest.TestCase):
    """One entry with targets of its own."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.bench = Bench(self.core)

    def test_request_is_dispatched_and_answered(self) -> None:
        actions = self.bench.arrive("GET", "/times/today")
        self.assertIsInstance(actions[0], Dispatch)
        began = self.core.answer_began(actions[0].attempt_id, 200, 1.0)
        self.assertIsInstance(began[0], Begin)
        self.assertEqual(self.core.answer_ended(actions[0].attempt_id, None, 10, 1.1), [])
        self.assertEqual(self.core.open_requests(), 0)
        self.assertEqual(self.core.account.in_use, 0)

    def test_unknown_path_is_refused(self) -> None:
        actions = self.bench.arrive("GET", "/nowhere")
        self.assertEqual(actions[0].refusal.code, Code.UNKNOWN_SERVICE)

    def test_late_answer_of_a_superseded_attempt_is_dropped(self) -> None:
        """A caller would get two answers mixed: its first target's, late, and its second's.

        The first attempt breaks, the request is sent again, then the first target's answer arrives
        after all.
        """
        first = self.bench.arrive("GET", "/times/today")[0]
        second = self.core.attempt_failed(first.attempt_id, Failure.LOST, 0.1)[0]
        self.assertIsInstance(second, Dispatch)
        self.assertNotEqual(second.target.target_id, first.target.target_id)
        self.assertEqual(self.core.answer_began(first.attempt_id, 200, 0.2), [])
        self.assertEqual(self.core.answer_ended(first.attempt_id, None, 1, 0.2), [])

    def test_bulk_uses_idle_targets_that_nobody_else_could_use(self) -> None:
        """Partners are refused although the fare targets stand idle.

        An entry owns targets of some services only. Bulk had to leave free a part of the region's
        limit for the others, also where no target of theirs could have used it.
        """
        self.assertIsInstance(self._second_fare(booking="leaving")[0], Dispatch)

    def test_bulk_leaves_what_others_could_use(self) -> None:
        self.assertEqual(self._second_fare(booking="active"), [])

    def _second_fare(self, booking: str) -> list[Any]:
        """Use three of the four units held, one for a fare; ask for another fare."""
        document = small_policy(entries=1)
        document["regions"]["north"]["in_flight_limit"] = 8
        document["services"]["fares"] = {"path": "/fares", "rules": [{"priority": "bulk"}]}
        for target_id, target in list(document["targets"].items()):
            if target["service"] == "booking":
                target["state"] = booking
                document["targets"][f"fares-{target_id}"] = {
                    **target,
                    "service": "fares",
                    "state": "active",
                }
        bench = Bench(make_core("entry-1", random.Random(1), document=document))
        for path in ("/times/1", "/times/2", "/fares/1"):
            self.assertIsInstance(bench.arrive("GET", path)[0], Dispatch)
        return list(bench.arrive("GET", "/fares/2"))

    def test_full_targets_make_requests_wait_and_then_run(self) -> None:
        actions = [self.bench.arrive("GET", f"/times/{n}") for n in range(4)]
        sent = [a for batch in actions for a in batch if isinstance(a, Dispatch)]
        self.assertEqual(len(sent), 2)
        self.core.answer_began(sent[0].attempt_id, 200, 0.1)
        next_sent = self.core.answer_ended(sent[0].attempt_id, None, 1, 0.1)
        self.assertIsInstance(next_sent[0], Dispatch)


class RestTest(unittest.TestCase):
    """A backend server that turned a request away is left alone for as long as it asks."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-1", random.Random(1))
        self.bench = Bench(self.core)
        self.targets = self.core.placement.targets_by_service["times"]

    def shed_by(self, own: OwnTarget, rest: float, now: float) -> None:
        """Let a target turn away requests until it has turned one away itself."""
        others = [each for each in self.targets.by_id.values() if each is not own]
        for each in others:
            each.reserved = True
        sent = self.bench.arrive("GET", f"/times/{now}", now)[0]
        for each in others:
            each.reserved = False
        assert isinstance(sent, Dispatch)
        self.core.attempt_failed(sent.attempt_id, Failure.SHED, now, retry_after=rest)

    def test_it_gets_nothing_until_the_latest_end_it_asked_for(self) -> None:
        """Guards against servers in need that get each request all the same."""
        own = next(iter(self.targets.by_id.values()))
        self.shed_by(own, 3.0, 1.0)
        own.rest(0.5, 1.2)
        self.assertEqual(0, own.free(3.9))
        self.assertGreater(own.free(4.0), 0)

    def test_callers_wait_or_hear_of_the_first_that_is_free(self) -> None:
        """Guards against an estimate that takes resting servers for free ones."""
        for number, own in enumerate(self.targets.by_id.values()):
            own.rest(2.0 + number, 1.0)
        self.assertGreaterEqual(self.targets.wait_for(0, 1.5), 1.5)
        self.assertLess(self.targets.wait_for(0, 1.5), 1.6)


class LeavingTest(unittest.TestCase):
    """A leaving backend server gets no new work, whichever way that becomes known."""

    def setUp(self) -> None:
        invariants.strict = True

    def asked(self, core: Core, now: float = 0.0) -> list[Any]:
        return list(Bench(core).arrive("GET", f"/times/{now}", now))

    def test_by_the_policy(self) -> None:
        """A server that operators drain for maintenance goes on getting timetables."""
        document = small_policy(entries=1)
        for target in document["targets"].values():
            target["state"] = "leaving"
        core = make_core("entry-1", random.Random(1), document=document)
        self.assertNotIsInstance(self.asked(core)[0], Dispatch)

    def test_by_its_own_word_until_that_has_aged(self) -> None:
        """A server that stops by itself goes on getting timetables, or never gets any again."""
        core = make_core("entry-1", random.Random(1))
        for target_id in core.placement.targets_by_service["times"].by_id:
            core.exchange.record_leaving(target_id, 0.0, 0.0)
        self.assertNotIsInstance(self.asked(core, 1.0)[0], Dispatch)
        self.assertIsInstance(self.asked(core, LEAVING_LIFETIME_S + 1.0)[0], Dispatch)

    def test_by_a_peer(self) -> None:
        core = make_core("entry-1", random.Random(1))
        ids = core.placement.targets_by_service["times"].by_id
        notices = tuple(LeavingNotice(target_id, 0.5) for target_id in ids)
        core.exchange.record_news(News(leaving=notices), 1.0)
        self.assertNotIsInstance(self.asked(core, 1.0)[0], Dispatch)


class TakeoverTest(unittest.TestCase):
    """Two owners of a target for a moment."""

    def test_slots_are_reduced_until_the_old_owners_requests_have_ended(self) -> None:
        """A server with three slots is asked to run six requests, and sheds a booking.

        Its owner is cut off with three requests running; the new owner uses all slots at once.
        """
        invariants.strict = True
        document = small_policy(targets=6, entries=2)
        core = make_core("entry-1", random.Random(1), entries=2, document=document)
        times = core.placement.targets_by_service["times"]
        before = set(times.by_id)
        alone = {i: m for i, m in core.view.by_id.items() if i != "entry-2"}
        core.view_changed(MemberView(alone), 10.0)
        taken_over = [own for target_id, own in times.by_id.items() if target_id not in before]
        self.assertTrue(taken_over)
        assert core.policy is not None
        ended = 10.0 + core.policy.services_by_name["times"].max_deadline
        for own in taken_over:
            own.ramp.assume_warm()
            self.assertLess(own.ramp.limit(ended - 0.1), own.slots)
            self.assertEqual(own.ramp.limit(ended), own.slots)


class CrashTest(unittest.TestCase):
    """One crash is one crash."""

    def test_a_late_break_of_an_old_crash_blames_nobody_new(self) -> None:
        """A timetable is refused for ten minutes as if it killed backend servers.

        A target with two requests crashes. The break of the first connection is seen, the target
        comes back and gets a timetable, and only then the break of the second one is seen.
        """
        invariants.strict = True
        core = make_core("entry-1", random.Random(1))
        bench = Bench(core)
        for own in core.placement.targets_by_service["times"].by_id.values():
            own.ramp.assume_warm()
        sent = [bench.arrive("GET", f"/times/{n}")[0] for n in range(4)]
        crashed_id = sent[0].target.target_id
        old = [each for each in sent if each.target.target_id == crashed_id]
        core.attempt_failed(old[0].attempt_id, Failure.LOST, 0.1, crashed=True)
        suspects = {verdict.digest for verdict in core.quarantine.verdicts(0.2)}
        bench.arrive("GET", "/times/new", 0.2)
        core.attempt_failed(old[1].attempt_id, Failure.LOST, 0.3, crashed=True)
        verdicts = core.quarantine.verdicts(0.4)
        self.assertEqual({verdict.digest for verdict in verdicts}, suspects)
        self.assertEqual([verdict.crashes for verdict in verdicts], [1, 1])


class ShiftTest(unittest.TestCase):
    """Traffic of a lost region moves no faster than its cap."""

    WINDOW = 5.0
    SHARE = 20
    """The emergency cap of the small policy, divided by its two entries."""

    def setUp(self) -> None:
        invariants.strict = True
        self.core = make_core("entry-2", random.Random(1), settings=CoreSettings(queue_limit=0))
        south_only = {"entry-2": make_view(1).by_id["entry-2"]}
        self.core.view_changed(MemberView(south_only), 0.0)
        self.bench = Bench(self.core)

    def test_moved_requests_beyond_the_cap_are_refused_at_once(self) -> None:
        codes = self._codes(self.SHARE + 5, now=1.0)
        self.assertEqual(codes.count(Code.SHIFT_CAPPED), 5)

    def test_refused_requests_do_not_raise_what_may_move_next(self) -> None:
        """A region that was full is flooded beyond its cap when it has room again.

        The north is lost and the south, full, refuses what moves there for two windows. Counted as
        carried, the refused requests would let as many more through in the third window.
        """
        for window in range(2):
            self._codes(3 * self.SHARE, now=window * self.WINDOW + 1.0)
        codes = self._codes(4 * self.SHARE, now=2 * self.WINDOW + 1.0)
        passed = [code for code in codes if code is not Code.SHIFT_CAPPED]
        # Two requests hold the two targets' first slots from the first window on.
        self.assertLessEqual(len(passed), self.SHARE + 2)

    def _codes(self, count: int, now: float) -> list[Code | None]:
        """Let callers of the north send requests; return the code of each refusal."""
        batches = [self.bench.arrive("GET", f"/times/{n}", now) for n in range(count)]
        return [getattr(getattr(b[0], "refusal", None), "code", None) for b in batches]

"""Tests of the console's pages with a fake store and fake entries."""

import html
import json
import re
import tempfile
import unittest

from briarspur import porcelain
from briarspur.consolepages import Console, Page, PageRequest
from briarspur.coord.envelope import Envelope
from briarspur.coord.store import ABSENT
from briarspur.errors import SettingsError
from briarspur.operators import CsrfGuard, OperatorTokens
from briarspur.plan import PlanDocument, PlanSplit
from briarspur.repository import PolicyRepository
from briarspur.serviceview import ServiceView
from tests.examples import small_policy
from tests.fakes import FakeStore, skip_sleep
from tests.test_porcelain import FakeEntries, parsed, sign

TOKEN = "0123456789abcdef"
SESSION = "a-session"


class ConsoleTest(unittest.IsolatedAsyncioTestCase):
    """An operator edits, reviews and accepts through forms; invalid submissions are rejected."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.repository = PolicyRepository(self.store, skip_sleep)
        await porcelain.apply(self.repository, parsed(small_policy()), ABSENT, sign("t1"))
        entries = FakeEntries(["e1"])
        view = ServiceView(self.repository, self.store, entries, entries, lambda: 1_000_000.0)
        self.token_file = self.enterContext(tempfile.NamedTemporaryFile("w+"))
        self.token_file.write(f"ana {TOKEN}\n")
        self.token_file.flush()
        self.guard = CsrfGuard()
        tokens = OperatorTokens(self.token_file.name)
        self.console = Console(self.repository, view, tokens, self.guard)

    async def get(self, path: str) -> Page:
        return await self.console.handle(PageRequest("GET", path, SESSION))

    async def post(self, path: str, **fields: str) -> Page:
        submitted = {name.replace("__", "."): value for name, value in fields.items()}
        submitted.setdefault("guard", self.guard.field_for(SESSION))
        return await self.console.handle(PageRequest("POST", path, SESSION, submitted))

    def hidden(self, page: Page, name: str) -> str:
        match = re.search(rf'name="{name}" value="([^"]*)"', page.html)
        assert match is not None, page.html
        return html.unescape(match[1])

    async def reviewed(self, **fields: str) -> Page:
        form = await self.get("/edit")
        document, base = self.hidden(form, "document"), self.hidden(form, "base")
        return await self.post("/edit", document=document, base=base, action="review", **fields)

    async def accept(self, review: Page, token: str = TOKEN) -> Page:
        return await self.post(
            "/accept",
            document=self.hidden(review, "document"),
            base=self.hidden(review, "base"),
            note="why not",
            token=token,
        )

    async def resolve(self, conflict: Page) -> Page:
        hidden = {name: self.hidden(conflict, name) for name in ("document", "base", "theirs")}
        path = "keep__services__times__objective__latency_ms"
        return await self.post("/resolve", **hidden, **{path: "mine"})

    async def in_force(self) -> int:
        current = await self.repository.current()
        assert current is not None
        return current.document.services["times"].objective.latency_ms

    async def test_a_change_is_reviewed_then_accepted_and_logged(self) -> None:
        review = await self.reviewed(services__times__objective__latency_ms="400")
        self.assertIn("~ services.times.objective.latency_ms: 500 -&gt; 400", review.html)
        self.assertIn("&#34;user&#34;: &#34;example&#34;", review.html)
        self.assertEqual(await self.in_force(), 500)
        with self.assertLogs("briarspur") as logged:
            accepted = await self.accept(review)
        self.assertEqual((accepted.status, await self.in_force()), (200, 400))
        record = logged.records[-1]
        self.assertEqual(
            (record.getMessage(), vars(record)["operator"]), ("change-accepted", "ana")
        )
        self.assertIn("latency_ms: 500 -> 400", vars(record)["changes"])
        self.assertNotIn(TOKEN, str(vars(record)))

    async def test_each_fault_is_shown_at_its_field(self) -> None:
        page = await self.reviewed(
            services__times__objective__latency_ms="soon",
            services__booking__rules__0__deadline_ms="1",
        )
        self.assertEqual(page.status, 422)
        for name in ("services.times.objective.latency_ms", "services.booking.rules.0.deadline_ms"):
            field = rf'"faulty">[^<]*<input name="{re.escape(name)}"[^>]*>\s*<span class="fault">'
            self.assertRegex(page.html, field)
        self.assertIn('value="soon"', page.html)
        self.assertEqual(await self.in_force(), 500)

    async def test_conflicting_edits_are_both_shown_and_merged_without_loss(self) -> None:
        # Two operators edit the same version and the other one accepts first. This operator must
        # see both edits and choose between conflicting ones; all other changes are merged.
        review = await self.reviewed(
            services__times__objective__latency_ms="400",
            services__booking__objective__latency_ms="450",
        )
        theirs = small_policy()
        theirs["services"]["times"]["objective"] = {"latency_ms": 300}
        theirs["caps"]["return"]["requests_per_window"] = 7
        await porcelain.apply(self.repository, parsed(theirs), 1, sign("theirs"))
        conflict = await self.accept(review)
        self.assertEqual(conflict.status, 409)
        for text in ("500 -&gt; 400", "500 -&gt; 300", "10 -&gt; 7", "500 -&gt; 450"):
            self.assertIn(text, conflict.html)
        resolved = await self.resolve(conflict)
        self.assertEqual((await self.accept(resolved)).status, 200)
        current = await self.repository.current()
        assert current is not None
        services = current.document.services
        self.assertEqual(services["times"].objective.latency_ms, 400)
        self.assertEqual(services["booking"].objective.latency_ms, 450)
        caps = {kind.value: cap.requests_per_window for kind, cap in current.document.caps.items()}
        self.assertEqual(caps["return"], 7)

    async def test_a_third_edit_during_conflict_resolution_is_shown(self) -> None:
        # While an operator resolves a conflict, a third one edits a value that this operator also
        # edited. No choice was made for it, so merging would silently drop this operator's edit.
        review = await self.reviewed(services__booking__objective__latency_ms="450")
        theirs = small_policy()
        theirs["caps"]["return"]["requests_per_window"] = 7
        accepted = await porcelain.apply(self.repository, parsed(theirs), 1, sign("theirs"))
        conflict = await self.accept(review)
        theirs["services"]["booking"]["objective"] = {"latency_ms": 300}
        version = accepted.ok.revision.version
        await porcelain.apply(self.repository, parsed(theirs), version, sign("third"))
        again = await self.resolve(conflict)
        self.assertEqual(again.status, 409)
        self.assertIn("500 -&gt; 300", again.html)
        self.assertIn("500 -&gt; 450", again.html)
        self.assertEqual((await self.resolve(again)).status, 200)

    async def test_an_invalid_token_changes_nothing_and_keeps_the_draft(self) -> None:
        review = await self.reviewed(services__times__objective__latency_ms="400")
        rejected = await self.accept(review, token="wrong")
        self.assertEqual((rejected.status, await self.in_force()), (403, 500))
        self.assertEqual((await self.accept(rejected)).status, 200)

    async def test_a_form_of_another_session_changes_nothing(self) -> None:
        # Cross-site request forgery: an operator with a console session opens a foreign page that
        # submits a form to /accept.
        review = await self.reviewed(services__times__objective__latency_ms="400")
        for guard in ("", "x", self.guard.field_for("another"), "\u20ac"):
            page = await self.post(
                "/accept",
                document=self.hidden(review, "document"),
                base="1",
                token=TOKEN,
                guard=guard,
            )
            self.assertEqual((page.status, await self.in_force()), (403, 500))

    async def test_all_submitted_text_is_escaped(self) -> None:
        evil = "<script>alert(1)</script>"
        pages = [
            await self.reviewed(services__times__path=evil),
            await self.post(
                "/edit", document=json.dumps({"user": evil}), base="1", action="review"
            ),
            await self.post("/edit", document=json.dumps({"services": {evil: {}}}), base="1"),
            await self.post("/edit", action="add:services", new__services=evil),
            await self.get(f"/services/{evil}"),
        ]
        for page in pages:
            self.assertNotIn(evil, page.html)

    async def test_drain_and_rollback_are_reviewed_before_they_are_accepted(self) -> None:
        review = await self.post("/edit", action="state:times-north-1:leaving")
        self.assertIn("targets.times-north-1.state", review.html)
        self.assertEqual((await self.accept(review)).status, 200)
        self.assertIn("not known everywhere", (await self.get("/drains")).html)
        rollback = await self.post("/edit", action="rollback:1")
        self.assertEqual((await self.accept(rollback)).status, 200)
        self.assertEqual(len(await self.repository.history(10)), 3)

    async def test_a_service_page_shows_the_plan_in_force(self) -> None:
        await self.store.put("plan", Envelope("t", 3, "").encode(), ABSENT)
        self.assertIn("No plan", (await self.get("/services/times")).html)
        split = {"shares": {"north": 0.75, "south": 0.25}}
        plan = PlanDocument.model_validate(
            {"term": 3, "number": 9, "holder": "steer-2", "policy_version": 1, "splits": {}}
        )
        splits = {"times": {"north": PlanSplit.model_validate(split)}}
        body = plan.model_copy(update={"splits": splits}).model_dump_json()
        await self.store.put("plan", Envelope("t2", 3, body).encode(), 4)
        page = (await self.get("/services/times")).html
        self.assertIn("north 75.0 %, then south 25.0 %", page)
        self.assertIn("steer-2, term 3, number 9", page)

    async def test_every_page_renders_without_entries_levels_or_policy(self) -> None:
        paths = ("/", "/edit", "/status", "/drains", "/history", "/services/times")
        for path in paths:
            self.assertEqual((await self.get(path)).status, 200, path)
        self.store.down = True
        for path in paths:
            self.assertEqual((await self.get(path)).status, 503, path)
        self.store.down = False
        self.store.objects.clear()
        for path in paths[:-1]:
            self.assertEqual((await self.get(path)).status, 200, path)

    async def test_a_malformed_draft_causes_no_internal_error(self) -> None:
        shapes = ("{", "[]", "{}", '{"services": []}', '{"services": {"a": {"rules": [1]}}}')
        for document, base in ((shape, base) for shape in shapes for base in ("1", "x", "²")):
            for path in ("/edit", "/accept", "/resolve"):
                page = await self.post(path, document=document, base=base, token=TOKEN)
                self.assertIn(page.status, (200, 422), (path, document, base))
        self.assertEqual(await self.in_force(), 500)

    async def test_health_does_not_need_the_store_but_readiness_does(self) -> None:
        self.assertEqual((await self.get("/readyz")).status, 200)
        self.store.down = True
        self.assertEqual((await self.get("/healthz")).status, 200)
        self.assertEqual((await self.get("/readyz")).status, 503)


class TokensTest(unittest.TestCase):
    """The file of operator tokens."""

    def test_named_single_and_too_short_tokens(self) -> None:
        with tempfile.NamedTemporaryFile("w+") as file:
            file.write(f"{TOKEN}\n")
            file.flush()
            tokens = OperatorTokens(file.name)
            self.assertEqual(tokens.find_operator(TOKEN), "operator")
            self.assertIsNone(tokens.find_operator(TOKEN + "x"))
            self.assertIsNone(tokens.find_operator(""))
            file.write("bo short\n")
            file.flush()
            with self.assertRaises(SettingsError):
                OperatorTokens(file.name)
        with self.assertRaises(SettingsError):
            OperatorTokens("/nowhere")

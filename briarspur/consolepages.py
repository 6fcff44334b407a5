"""The console's pages: what each shows and what each form does; knows nothing of HTTP's bytes."""

import json
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from briarspur import logs, pages, porcelain
from briarspur.change import Comparison, compare, difference, resolve
from briarspur.clicontext import sign
from briarspur.coord.errors import StoreError, StoreUnavailableError, StoreUnclearError
from briarspur.coord.store import ABSENT
from briarspur.edits import add, move_rule_up, remove
from briarspur.errors import DocumentError, Fault
from briarspur.forms import (
    SECTIONS,
    Draft,
    Section,
    apply_fields,
    choose_groups,
    fields_of,
    locate_faults,
    parse_draft,
    section_of,
)
from briarspur.lint import warnings_of
from briarspur.operators import FormGuard, OperatorTokens
from briarspur.policy import PolicyDocument, parse_policy
from briarspur.porcelain import Race
from briarspur.repository import PolicyRepository
from briarspur.revision import MAX_NOTE
from briarspur.serviceview import ServiceView

__all__ = ["Asked", "Console", "Page"]

HISTORY_SHOWN = 50
GROUPS_SHOWN = 100

OK = 200
FORBIDDEN = 403
NOT_FOUND = 404
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Asked:
    """A request to the console; ``fields`` are those of the form or of the query."""

    method: str
    path: str
    session: str
    fields: Mapping[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str:
        """Return a field, empty if it was not sent."""
        return self.fields.get(name, "")


@dataclass(frozen=True, slots=True)
class Page:
    """An answer of the console."""

    status: int
    html: str


@dataclass(frozen=True, slots=True)
class _Editing:
    """A draft with the version it was made from."""

    draft: Draft
    base: int
    section: Section = Section.SERVICES
    message: str = ""


class Console:
    """Answers the console's requests; keeps no state of its own between them.

    A draft travels in the form itself, so a console that is restarted, or another one, goes on
    with it.
    """

    def __init__(
        self,
        repository: PolicyRepository,
        view: ServiceView,
        tokens: OperatorTokens,
        guard: FormGuard,
    ) -> None:
        self._repository = repository
        self._view = view
        self._tokens = tokens
        self._guard = guard
        self._handlers: dict[tuple[str, str], Callable[[Asked], Awaitable[Page]]] = {
            ("GET", "/"): self._overview,
            ("GET", "/edit"): self._begin_edit,
            ("POST", "/edit"): self._edit,
            ("POST", "/accept"): self._accept,
            ("POST", "/resolve"): self._resolve,
            ("GET", "/status"): self._status,
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._readiness,
            ("GET", "/drains"): self._drains,
            ("GET", "/history"): self._history,
        }

    async def answer(self, asked: Asked) -> Page:
        """Return the page for a request."""
        handler = self._handlers.get((asked.method, asked.path))
        if handler is None and asked.method == "GET" and asked.path.startswith("/services/"):
            handler = self._service
        if handler is None:
            return self._message(asked, NOT_FOUND, "There is no such page.")
        if asked.method == "POST" and not self._guard.accepts(asked.session, asked.get("guard")):
            logs.event("change-refused", logging.WARNING, reason="form of another session")
            text = "This form is not of your session. Nothing was changed; your draft is below."
            return self._message(asked, FORBIDDEN, text, asked.get("document"))
        try:
            return await handler(asked)
        except StoreUnclearError as error:
            text = f"It is not known whether the change is in force: {error}. See the history."
            return self._message(asked, UNAVAILABLE, text, asked.get("document"))
        except StoreUnavailableError as error:
            text = f"The store is unavailable: {error}. Nothing was changed."
            return self._message(asked, UNAVAILABLE, text, asked.get("document"))
        except DocumentError as error:
            return self._message(asked, UNPROCESSABLE, str(error), asked.get("document"))
        except StoreError as error:
            return self._message(asked, UNAVAILABLE, str(error), asked.get("document"))

    def _render(self, asked: Asked, status: int, template: str, **values: Any) -> Page:
        guard = self._guard.field_for(asked.session)
        return Page(status, pages.render(template, guard=guard, **values))

    def _message(self, asked: Asked, status: int, text: str, draft: str = "") -> Page:
        return self._render(asked, status, "message.html", text=text, draft=draft)

    async def _health(self, asked: Asked) -> Page:
        return Page(OK, "ok\n")

    async def _readiness(self, asked: Asked) -> Page:
        """Say whether the store answers; a store that does not is answered by ``answer``."""
        await self._repository.current()
        return Page(OK, "ok\n")

    async def _overview(self, asked: Asked) -> Page:
        current = await self._repository.current()
        burns = await self._view.severity_by_service() if current else None
        return self._render(asked, OK, "overview.html", current=current, burns=burns)

    async def _service(self, asked: Asked) -> Page:
        found = await self._view.page_values(asked.path.removeprefix("/services/"))
        if found is None:
            return self._message(asked, NOT_FOUND, "There is no such service.")
        return self._render(asked, OK, "service.html", **found)

    async def _status(self, asked: Asked) -> Page:
        fleet = await self._view.fleet_status()
        return self._render(asked, OK, "status.html", fleet=fleet)

    async def _drains(self, asked: Asked) -> Page:
        current = await self._repository.current()
        fleet = await self._view.fleet_status()
        return self._render(asked, OK, "drains.html", current=current, fleet=fleet)

    async def _history(self, asked: Asked) -> Page:
        revisions = await self._repository.history(HISTORY_SHOWN)
        return self._render(asked, OK, "history.html", revisions=revisions)

    async def _begin_edit(self, asked: Asked) -> Page:
        editing = await self._in_force()
        return self._form(asked, editing)

    async def _in_force(self) -> _Editing:
        current = await self._repository.current()
        draft = porcelain.as_json(current.document) if current else {}
        return _Editing(draft, current.version if current else ABSENT)

    async def _edit(self, asked: Asked) -> Page:
        """Take the typed fields into the draft, then do what the pressed button says."""
        editing = await self._draft_of(asked)
        verb, _, argument = asked.get("action").partition(":")
        if verb == "review":
            return await self._review(asked, editing, asked.get("note"))
        if verb == "state":
            return await self._review(
                asked, _with_state(editing, argument), argument.replace(":", " ")
            )
        if verb == "rollback":
            past = await self._repository.revision(int(argument) if argument.isdecimal() else 0)
            if past is None:
                return self._message(asked, NOT_FOUND, "That version is not in the history.")
            back = _Editing(porcelain.as_json(past.document), editing.base)
            return await self._review(asked, back, f"rollback to {past.version}")
        return self._form(asked, _edited(editing, verb, argument, asked))

    async def _draft_of(self, asked: Asked) -> _Editing:
        if not asked.get("document"):
            return await self._in_force()
        base = int(asked.get("base")) if asked.get("base").isdecimal() else ABSENT
        draft = apply_fields(parse_draft(asked.get("document")), asked.fields)
        name = asked.get("section")
        section = Section[name] if name in Section.__members__ else Section.SERVICES
        if not asked.get("text"):
            return _Editing(draft, base, section)
        try:
            return _Editing(parse_draft(asked.get("text")), base, section)
        except DocumentError as error:
            return _Editing(draft, base, section, f"the text was not taken: {error}")

    def _form(self, asked: Asked, editing: _Editing, faults: list[Fault] | None = None) -> Page:
        found = faults if faults is not None else []
        messages_by_path: dict[str, list[str]] = {}
        for fault in found:
            messages_by_path.setdefault(fault.path, []).append(fault.message)
        groups = fields_of(editing.draft, editing.section)
        shown = choose_groups(groups, messages_by_path, asked.get("find"), GROUPS_SHOWN)
        return self._render(
            asked,
            UNPROCESSABLE if found else OK,
            "edit.html",
            editing=editing,
            document=json.dumps(editing.draft),
            sections=SECTIONS,
            groups=shown,
            groups_in_all=len(groups),
            find=asked.get("find"),
            faults=found,
            section_of=section_of,
            messages_by_path=messages_by_path,
        )

    async def _review(self, asked: Asked, editing: _Editing, note: str) -> Page:
        """Show the whole document and its difference, or each fault at its field."""
        report = porcelain.check(json.dumps(editing.draft))
        if report.document is None:
            faults = locate_faults(report.faults)
            first = _Editing(editing.draft, editing.base, section_of(faults[0].path))
            return self._form(asked, first, faults)
        return await self._show_review(asked, report.document, editing.base, note)

    async def _show_review(
        self, asked: Asked, document: PolicyDocument, base: int, note: str, fault: str = ""
    ) -> Page:
        current = await self._repository.current()
        before = porcelain.as_json(current.document) if current else {}
        whole = porcelain.as_json(document)
        return self._render(
            asked,
            FORBIDDEN if fault else OK,
            "review.html",
            current=current,
            base=base,
            changes=difference(before, whole),
            warnings=warnings_of(document),
            whole=json.dumps(whole, indent=2, ensure_ascii=False),
            document=json.dumps(whole),
            note=note,
            fault=fault,
        )

    async def _accept(self, asked: Asked) -> Page:
        """Make the reviewed document the policy in force, if its author may and nobody raced."""
        document = parse_policy(asked.get("document"), "draft")
        base = int(asked.get("base")) if asked.get("base").isdecimal() else ABSENT
        name = self._tokens.name_of(asked.get("token"))
        if name is None:
            logs.event("change-refused", logging.WARNING, reason="no operator's token")
            fault = "The operator's token is wrong."
            return await self._show_review(asked, document, base, asked.get("note"), fault)
        signature = sign(name, asked.get("note")[:MAX_NOTE])
        result = await porcelain.apply(self._repository, document, base, signature)
        if result.is_error():
            logs.event("change-refused", operator=name, reason="conflict", expected_version=base)
            return self._conflict(asked, document, result.error)
        accepted = result.ok
        logs.event(
            "change-accepted",
            operator=name,
            version=accepted.revision.version,
            note=accepted.revision.note,
            changes="; ".join(str(change) for change in accepted.changes)[:2_000],
        )
        return self._render(asked, OK, "accepted.html", accepted=accepted)

    def _conflict(self, asked: Asked, document: PolicyDocument, race: Race) -> Page:
        """Show both edits; the author's whole document stays in the form."""
        mine = porcelain.as_json(document)
        theirs = porcelain.as_json(race.current.document) if race.current else {}
        comparison = race.comparison or compare(theirs, mine, theirs)
        return self._render(
            asked,
            CONFLICT,
            "conflict.html",
            race=race,
            comparison=comparison,
            document=json.dumps(mine),
            note=asked.get("note"),
        )

    async def _resolve(self, asked: Asked) -> Page:
        """Put the author's edit on top of what is in force, each conflict as it was chosen."""
        mine = parse_draft(asked.get("document"))
        editing = await self._in_force()
        if asked.get("theirs") != str(editing.base):
            # Guards against a third edit since the choices were shown: where it clashes nobody
            # has chosen, and taking theirs there would lose this author's edit unseen.
            return await self._conflict_now(asked, mine)
        comparison = await self._comparison(asked, mine, editing.draft)
        keep = {
            index
            for index in range(len(comparison.conflicts))
            if asked.get(f"keep.{comparison.conflicts[index].mine.name}") == "mine"
        }
        merged = resolve(comparison, mine, editing.draft, keep)
        return await self._review(asked, _Editing(merged, editing.base), asked.get("note"))

    async def _conflict_now(self, asked: Asked, mine: Draft) -> Page:
        """Show the conflict of a draft with what is in force now."""
        document = parse_policy(json.dumps(mine), "draft")
        expected = int(asked.get("base")) if asked.get("base").isdecimal() else ABSENT
        current = await self._repository.current()
        theirs = porcelain.as_json(current.document) if current else {}
        comparison = await self._comparison(asked, mine, theirs)
        return self._conflict(asked, document, Race(expected, current, comparison))

    async def _comparison(self, asked: Asked, mine: Draft, theirs: Draft) -> Comparison:
        version = asked.get("base")
        base = await self._repository.revision(int(version)) if version.isdecimal() else None
        return compare(porcelain.as_json(base.document) if base else theirs, mine, theirs)


def _edited(editing: _Editing, verb: str, argument: str, asked: Asked) -> _Editing:
    """Return the draft after a button of the form."""
    if verb == "show" and argument in Section.__members__:
        return _Editing(editing.draft, editing.base, Section[argument], editing.message)
    operations = {
        "add": lambda: add(editing.draft, argument, asked.get(f"new.{argument}")),
        "remove": lambda: remove(editing.draft, argument),
        "up": lambda: move_rule_up(editing.draft, argument),
    }
    if verb not in operations:
        return editing
    result = operations[verb]()
    if result.is_error():
        return _Editing(editing.draft, editing.base, editing.section, result.error)
    return _Editing(result.ok, editing.base, editing.section)


def _with_state(editing: _Editing, argument: str) -> _Editing:
    """Return the draft with a target's state; ``argument`` is ``target:state``."""
    target_id, _, state = argument.partition(":")
    return _Editing(
        apply_fields(editing.draft, {f"targets.{target_id}.state": state}), editing.base
    )

"""Pages and form actions of the console, independent of the HTTP server."""

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
from briarspur.lint import find_warnings
from briarspur.operators import CsrfGuard, OperatorTokens
from briarspur.policy import PolicyDocument, parse_policy
from briarspur.porcelain import VersionConflict
from briarspur.repository import PolicyRepository
from briarspur.revision import MAX_NOTE_LENGTH
from briarspur.serviceview import ServiceView

__all__ = ["Console", "Page", "PageRequest"]

MAX_REVISIONS_SHOWN = 50
MAX_GROUPS_SHOWN = 100

OK = 200
FORBIDDEN = 403
NOT_FOUND = 404
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class PageRequest:
    """A request to the console; ``fields`` come from the form body or the query string."""

    method: str
    path: str
    session: str
    fields: Mapping[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str:
        """Return a field, or an empty string if it was not sent."""
        return self.fields.get(name, "")


@dataclass(frozen=True, slots=True)
class Page:
    """A response of the console."""

    status: int
    html: str


@dataclass(frozen=True, slots=True)
class _EditState:
    """A draft, the version it is based on, and what the form shows of it."""

    draft: Draft
    base: int
    section: Section = Section.SERVICES
    message: str = ""


class Console:
    """Handles the console's requests without state between them.

    The form itself carries the draft, so it survives a restart of the console and can be submitted
    to another console.
    """

    def __init__(
        self,
        repository: PolicyRepository,
        view: ServiceView,
        tokens: OperatorTokens,
        guard: CsrfGuard,
    ) -> None:
        self._repository = repository
        self._view = view
        self._tokens = tokens
        self._guard = guard
        self._handlers: dict[tuple[str, str], Callable[[PageRequest], Awaitable[Page]]] = {
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

    async def handle(self, request: PageRequest) -> Page:
        """Return the page that responds to a request."""
        handler = self._handlers.get((request.method, request.path))
        if handler is None and request.method == "GET" and request.path.startswith("/services/"):
            handler = self._service
        if handler is None:
            return self._render_message(request, NOT_FOUND, "Page not found.")
        if request.method == "POST" and not self._guard.accepts(
            request.session, request.get("guard")
        ):
            logs.event("change-refused", logging.WARNING, reason="form of another session")
            text = "This form belongs to another session. Nothing was changed; your draft is below."
            return self._render_message(request, FORBIDDEN, text, request.get("document"))
        try:
            return await handler(request)
        except StoreUnclearError as error:
            text = f"The change may or may not be in force: {error}. See the history."
            return self._render_message(request, UNAVAILABLE, text, request.get("document"))
        except StoreUnavailableError as error:
            text = f"The store is unavailable: {error}. Nothing was changed."
            return self._render_message(request, UNAVAILABLE, text, request.get("document"))
        except DocumentError as error:
            return self._render_message(request, UNPROCESSABLE, str(error), request.get("document"))
        except StoreError as error:
            return self._render_message(request, UNAVAILABLE, str(error), request.get("document"))

    def _render(self, request: PageRequest, status: int, template: str, **values: Any) -> Page:
        guard = self._guard.field_for(request.session)
        return Page(status, pages.render(template, guard=guard, **values))

    def _render_message(
        self, request: PageRequest, status: int, text: str, draft: str = ""
    ) -> Page:
        return self._render(request, status, "message.html", text=text, draft=draft)

    async def _health(self, request: PageRequest) -> Page:
        return Page(OK, "ok\n")

    async def _readiness(self, request: PageRequest) -> Page:
        """Return ok if the store responds; ``handle`` turns a store error into an error page."""
        await self._repository.current()
        return Page(OK, "ok\n")

    async def _overview(self, request: PageRequest) -> Page:
        current = await self._repository.current()
        burns = await self._view.severity_by_service() if current else None
        return self._render(request, OK, "overview.html", current=current, burns=burns)

    async def _service(self, request: PageRequest) -> Page:
        values = await self._view.page_values(request.path.removeprefix("/services/"))
        if values is None:
            return self._render_message(request, NOT_FOUND, "Service not found.")
        return self._render(request, OK, "service.html", **values)

    async def _status(self, request: PageRequest) -> Page:
        fleet = await self._view.fleet_status()
        return self._render(request, OK, "status.html", fleet=fleet)

    async def _drains(self, request: PageRequest) -> Page:
        current = await self._repository.current()
        fleet = await self._view.fleet_status()
        return self._render(request, OK, "drains.html", current=current, fleet=fleet)

    async def _history(self, request: PageRequest) -> Page:
        revisions = await self._repository.history(MAX_REVISIONS_SHOWN)
        return self._render(request, OK, "history.html", revisions=revisions)

    async def _begin_edit(self, request: PageRequest) -> Page:
        editing = await self._edit_policy_in_force()
        return self._render_form(request, editing)

    async def _edit_policy_in_force(self) -> _EditState:
        current = await self._repository.current()
        draft = porcelain.as_json(current.document) if current else {}
        return _EditState(draft, current.version if current else ABSENT)

    async def _edit(self, request: PageRequest) -> Page:
        """Apply the submitted fields to the draft, then run the action of the pressed button."""
        editing = await self._read_edit(request)
        action, _, argument = request.get("action").partition(":")
        if action == "review":
            return await self._review(request, editing, request.get("note"))
        if action == "state":
            return await self._review(
                request, _with_target_state(editing, argument), argument.replace(":", " ")
            )
        if action == "rollback":
            past = await self._repository.revision(int(argument) if argument.isdecimal() else 0)
            if past is None:
                return self._render_message(
                    request, NOT_FOUND, "That version is not in the history."
                )
            restored = _EditState(porcelain.as_json(past.document), editing.base)
            return await self._review(request, restored, f"rollback to {past.version}")
        return self._render_form(request, _apply_action(editing, action, argument, request))

    async def _read_edit(self, request: PageRequest) -> _EditState:
        if not request.get("document"):
            return await self._edit_policy_in_force()
        base = int(request.get("base")) if request.get("base").isdecimal() else ABSENT
        draft = apply_fields(parse_draft(request.get("document")), request.fields)
        name = request.get("section")
        section = Section[name] if name in Section.__members__ else Section.SERVICES
        if not request.get("text"):
            return _EditState(draft, base, section)
        try:
            return _EditState(parse_draft(request.get("text")), base, section)
        except DocumentError as error:
            return _EditState(draft, base, section, f"the text was rejected: {error}")

    def _render_form(
        self, request: PageRequest, editing: _EditState, faults: list[Fault] | None = None
    ) -> Page:
        form_faults = faults if faults is not None else []
        messages_by_path: dict[str, list[str]] = {}
        for fault in form_faults:
            messages_by_path.setdefault(fault.path, []).append(fault.message)
        groups = fields_of(editing.draft, editing.section)
        shown = choose_groups(groups, messages_by_path, request.get("find"), MAX_GROUPS_SHOWN)
        return self._render(
            request,
            UNPROCESSABLE if form_faults else OK,
            "edit.html",
            editing=editing,
            document=json.dumps(editing.draft),
            sections=SECTIONS,
            groups=shown,
            groups_in_all=len(groups),
            find=request.get("find"),
            faults=form_faults,
            section_of=section_of,
            messages_by_path=messages_by_path,
        )

    async def _review(self, request: PageRequest, editing: _EditState, note: str) -> Page:
        """Show the whole document and its differences, or the form with faults at their fields."""
        report = porcelain.check(json.dumps(editing.draft))
        if report.document is None:
            faults = locate_faults(report.faults)
            at_fault = _EditState(editing.draft, editing.base, section_of(faults[0].path))
            return self._render_form(request, at_fault, faults)
        return await self._render_review(request, report.document, editing.base, note)

    async def _render_review(
        self, request: PageRequest, document: PolicyDocument, base: int, note: str, fault: str = ""
    ) -> Page:
        current = await self._repository.current()
        before = porcelain.as_json(current.document) if current else {}
        whole = porcelain.as_json(document)
        return self._render(
            request,
            FORBIDDEN if fault else OK,
            "review.html",
            current=current,
            base=base,
            changes=difference(before, whole),
            warnings=find_warnings(document),
            whole=json.dumps(whole, indent=2, ensure_ascii=False),
            document=json.dumps(whole),
            note=note,
            fault=fault,
        )

    async def _accept(self, request: PageRequest) -> Page:
        """Put the reviewed document in force if the token is valid and no other edit came first."""
        document = parse_policy(request.get("document"), "draft")
        base = int(request.get("base")) if request.get("base").isdecimal() else ABSENT
        name = self._tokens.find_operator(request.get("token"))
        if name is None:
            logs.event("change-refused", logging.WARNING, reason="no operator's token")
            fault = "Invalid operator token."
            return await self._render_review(request, document, base, request.get("note"), fault)
        signature = sign(name, request.get("note")[:MAX_NOTE_LENGTH])
        result = await porcelain.apply(self._repository, document, base, signature)
        if result.is_error():
            logs.event("change-refused", operator=name, reason="conflict", expected_version=base)
            return self._render_conflict(request, document, result.error)
        accepted = result.ok
        logs.event(
            "change-accepted",
            operator=name,
            version=accepted.revision.version,
            note=accepted.revision.note,
            changes="; ".join(str(change) for change in accepted.changes)[:2_000],
        )
        return self._render(request, OK, "accepted.html", accepted=accepted)

    def _render_conflict(
        self, request: PageRequest, document: PolicyDocument, race: VersionConflict
    ) -> Page:
        """Show both edits; the form keeps the author's whole document."""
        mine = porcelain.as_json(document)
        theirs = porcelain.as_json(race.current.document) if race.current else {}
        comparison = race.comparison or compare(theirs, mine, theirs)
        return self._render(
            request,
            CONFLICT,
            "conflict.html",
            race=race,
            comparison=comparison,
            document=json.dumps(mine),
            note=request.get("note"),
        )

    async def _resolve(self, request: PageRequest) -> Page:
        """Merge the author's edit into the policy in force as chosen for each conflict."""
        mine = parse_draft(request.get("document"))
        editing = await self._edit_policy_in_force()
        if request.get("theirs") != str(editing.base):
            # A third edit came after the choices were shown. No choice was made for its conflicts,
            # and keeping theirs by default would silently lose this author's edit.
            return await self._render_current_conflict(request, mine)
        comparison = await self._compare_edits(request, mine, editing.draft)
        keep_mine = {
            index
            for index in range(len(comparison.conflicts))
            if request.get(f"keep.{comparison.conflicts[index].mine.name}") == "mine"
        }
        merged = resolve(comparison, mine, editing.draft, keep_mine)
        return await self._review(request, _EditState(merged, editing.base), request.get("note"))

    async def _render_current_conflict(self, request: PageRequest, mine: Draft) -> Page:
        """Show the conflicts between a draft and the policy now in force."""
        document = parse_policy(json.dumps(mine), "draft")
        expected = int(request.get("base")) if request.get("base").isdecimal() else ABSENT
        current = await self._repository.current()
        theirs = porcelain.as_json(current.document) if current else {}
        comparison = await self._compare_edits(request, mine, theirs)
        return self._render_conflict(
            request, document, VersionConflict(expected, current, comparison)
        )

    async def _compare_edits(self, request: PageRequest, mine: Draft, theirs: Draft) -> Comparison:
        version = request.get("base")
        base = await self._repository.revision(int(version)) if version.isdecimal() else None
        return compare(porcelain.as_json(base.document) if base else theirs, mine, theirs)


def _apply_action(
    editing: _EditState, action: str, argument: str, request: PageRequest
) -> _EditState:
    """Apply the action of a form button to the draft."""
    if action == "show" and argument in Section.__members__:
        return _EditState(editing.draft, editing.base, Section[argument], editing.message)
    operations = {
        "add": lambda: add(editing.draft, argument, request.get(f"new.{argument}")),
        "remove": lambda: remove(editing.draft, argument),
        "up": lambda: move_rule_up(editing.draft, argument),
    }
    if action not in operations:
        return editing
    result = operations[action]()
    if result.is_error():
        return _EditState(editing.draft, editing.base, editing.section, result.error)
    return _EditState(result.ok, editing.base, editing.section)


def _with_target_state(editing: _EditState, argument: str) -> _EditState:
    """Return the draft with a target's state set; ``argument`` is ``target:state``."""
    target_id, _, state = argument.partition(":")
    return _EditState(
        apply_fields(editing.draft, {f"targets.{target_id}.state": state}), editing.base
    )

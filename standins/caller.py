"""A stand-in caller: looks up entries and tries them in order, with the retries that are allowed.

Every call ends with one final answer or is counted as unanswered. Every byte of a body is checked.
"""

import argparse
import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.error import ConnectError

from briarspur.codes import CODES, Code, Ran, Repeat
from briarspur.documents import load_settings
from standins import serving
from standins.callersettings import Address, CallerSettings, Load
from standins.callhttp import CallHttp, CallResponse
from standins.callreport import Fate, Outcome, Report
from standins.content import download_etag, small_body

__all__ = ["Caller", "main"]

LOOKUP_TIMEOUT_S = 2.0
PROGRESS_INTERVAL_S = 2.0
MAX_HISTORIES = 50
NO_CODE = 0
MIN_ERROR_STATUS = 400
DEFAULT_RETRY_DELAY_S = 0.2


@dataclass(slots=True)
class LookupResult:
    """A cached look-up result."""

    entries: list[Address]
    key_prefix: str
    expires_at: float


class CallerHost:
    """Callers at one address, which share persistent connections and cached look-ups."""

    def __init__(self, host: str, entries: list[Address], rng: random.Random) -> None:
        self.http = CallHttp(host)
        self.lookups = 0
        self._entries = entries
        self._rng = rng
        self._found_by_service: dict[str, LookupResult] = {}
        self._pending_by_service: dict[str, asyncio.Task[LookupResult | None]] = {}

    async def lookup(self, service: str) -> LookupResult | None:
        """Return the cached look-up, renewed once it has expired; None if none ever succeeded."""
        found = self._found_by_service.get(service)
        if found is not None and time.monotonic() < found.expires_at:
            return found
        pending = self._pending_by_service.get(service)
        if pending is None or pending.done():
            pending = asyncio.ensure_future(self._fetch(service))
            self._pending_by_service[service] = pending
        return await asyncio.shield(pending) or found

    async def _fetch(self, service: str) -> LookupResult | None:
        """Ask the known entries in random order until one answers."""
        entries = list(self._entries)
        self._rng.shuffle(entries)
        for entry in entries:
            url = f"http://{entry.host}:{entry.port}/v1/lookup?service={service}"
            requested_at = time.monotonic()
            try:
                response = await self.http.call("GET", url, {}, LOOKUP_TIMEOUT_S)
                if response.status != 200 or not response.complete:
                    continue
                document: dict[str, Any] = json.loads(response.body)
            except Exception:
                continue
            self.lookups += 1
            listed = [Address(host=e["host"], port=e["port"]) for e in document["entries"]]
            expires_at = requested_at + document["lifetime_s"]
            found = LookupResult(listed, document["key_prefix"], expires_at)
            self._found_by_service[service] = found
            return found
        return None


@dataclass(slots=True)
class Call:
    """One call and its state so far.

    Attributes
    ----------
    code : int
        Result code of the last answer; ``NO_CODE`` without one.
    may_have_run : bool
        An attempt ended without an indication of whether it ran.
    """

    load: Load
    path: str
    host: CallerHost
    key: str | None
    began: float
    code: int = NO_CODE
    may_have_run: bool = False
    attempts: int = 0
    history: list[str] = field(default_factory=list)


class Caller:
    """All callers of one process."""

    def __init__(self, settings: CallerSettings) -> None:
        self.settings = settings
        self.report = Report()
        self.open_calls = 0
        self._rng = random.Random(f"{settings.name}/{settings.seed}")
        self._hosts = [CallerHost(h, settings.entries, self._rng) for h in settings.hosts]
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Start no more calls; calls in progress continue to their end."""
        self._stopping.set()

    async def run(self) -> None:
        """Make all calls, then write the report."""
        progress = asyncio.ensure_future(self._show_progress())
        async with asyncio.TaskGroup() as group:
            for load in self.settings.loads:
                group.create_task(self._generate_arrivals(load, group))
        progress.cancel()
        self._print_progress()
        self.report.lookups = sum(host.lookups for host in self._hosts)
        Path(self.settings.report).write_text(self.report.dump())
        for host in self._hosts:
            await host.http.close()

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            self._print_progress()

    def _print_progress(self) -> None:
        report = self.report
        print(
            f"{self.settings.name}: {report.calls()} ended, {self.open_calls} open,"
            f" {report.total(Outcome.ANSWERED)} answered, {report.total(Outcome.REFUSED)} refused",
            flush=True,
        )

    async def _generate_arrivals(self, load: Load, group: asyncio.TaskGroup) -> None:
        """Start calls as an open-loop Poisson process, independent of earlier calls."""
        rng = random.Random(f"{self.settings.name}/{self.settings.seed}/{load.name}")
        start = time.monotonic()
        at = start + load.after_s
        for number in range(load.most):
            at += rng.expovariate(load.per_s)
            if at - start > self.settings.seconds or await self._stopped_before(at):
                return
            group.create_task(self._call(load, number))

    async def _stopped_before(self, at: float) -> bool:
        try:
            async with asyncio.timeout(max(0.0, at - time.monotonic())):
                await self._stopping.wait()
        except TimeoutError:
            return False
        return True

    async def _call(self, load: Load, number: int) -> None:
        self.open_calls += 1
        began = time.monotonic()
        host = self._rng.choice(self._hosts)
        call = Call(load, self._path(load, number), host, None, began)
        try:
            outcome = await self._run_attempts(call)
        except Exception as error:
            outcome = Outcome.NONE
            call.history.append(repr(error))
        self.open_calls -= 1
        self._record(call, outcome)

    def _path(self, load: Load, number: int) -> str:
        """Return a path that is unique to the call, except for downloads, which share few files."""
        if load.download_bytes:
            return f"{load.path}?bytes={load.download_bytes}"
        separator = "&" if "?" in load.path else "?"
        return f"{load.path}{separator}n={self.settings.name}-{load.name}-{number}"

    async def _run_attempts(self, call: Call) -> Outcome:
        """Try the listed entries in order until the answer is final."""
        last = Outcome.NONE
        for number in range(call.load.repeats + 1):
            remaining_s = call.began + call.load.patience_s - time.monotonic()
            found = await call.host.lookup(call.load.service)
            if found is None:
                call.history.append("no look-up")
                await asyncio.sleep(min(0.2, max(remaining_s, 0.0)))
                continue
            if call.load.keyed and call.key is None:
                call.key = self._new_key(call.load, found)
            entry = found.entries[number % len(found.entries)]
            if remaining_s <= 0:
                break
            outcome, wait = await self._attempt(call, entry, min(remaining_s, call.load.attempt_s))
            if wait is None:
                return outcome
            if outcome is not Outcome.NONE:
                last = outcome
            if time.monotonic() + wait > call.began + call.load.patience_s:
                break
            await asyncio.sleep(wait)
        return last

    def _new_key(self, load: Load, found: LookupResult) -> str:
        suffix = f"{self._rng.getrandbits(96):024x}"
        if self._rng.random() < load.foreign_share:
            return f"own-{suffix}"
        return f"{found.key_prefix}.{suffix}"

    async def _attempt(
        self, call: Call, entry: Address, timeout: float
    ) -> tuple[Outcome, float | None]:
        """Send once; return the outcome and the delay before a retry, None if it is final."""
        call.attempts += 1
        delay = self.settings.delays.to_caller(entry.host, self.settings.region) / 1000
        await asyncio.sleep(delay)
        headers = {"Idempotency-Key": call.key} if call.key else {}
        url = f"http://{entry.host}:{entry.port}{call.path}"
        try:
            response = await call.host.http.call(call.load.method, url, headers, timeout)
        except Exception as error:
            # The entry may have received the request. A retry at another entry with the same key is
            # safe, because only the home of the key decides whether it runs.
            call.history.append(f"{entry.host}:{entry.port} {type(error).__name__} {error}")
            call.may_have_run = call.may_have_run or not isinstance(error, ConnectError)
            return Outcome.NONE, 0.0
        await asyncio.sleep(delay)
        return self._classify(call, response, entry)

    def _classify(
        self, call: Call, response: CallResponse, entry: Address
    ) -> tuple[Outcome, float | None]:
        text = response.header(b"Briarspur-Code") or ""
        code = int(text) if text.isdigit() else NO_CODE
        self.report.attempt_codes[str(code)] += 1
        call.code = code
        call.history.append(
            f"{entry.host}:{entry.port} {response.status} {code} whole={response.complete}"
        )
        if code not in CODES:
            call.may_have_run = True
            return Outcome.WRONG, None
        info = CODES[Code(code)]
        if code in (Code.ANSWERED, Code.REPLAYED):
            if not response.complete:
                call.code, call.may_have_run = NO_CODE, True
                return Outcome.NONE, 0.0
            if response.status >= MIN_ERROR_STATUS:
                call.may_have_run = True
                return Outcome.FAILED, None
            return (Outcome.ANSWERED if _is_expected(call, response) else Outcome.WRONG), None
        if code == Code.ANSWERED_NOT_KEPT:
            return Outcome.ANSWERED, None
        call.may_have_run = call.may_have_run or info.ran is not Ran.NO
        outcome = Outcome.REFUSED if info.ran is Ran.NO else Outcome.UNKNOWN
        if info.repeat in (Repeat.SAME_KEY, Repeat.AFTER_RETRY_AFTER):
            return outcome, float(response.header(b"Retry-After") or DEFAULT_RETRY_DELAY_S)
        return outcome, None

    def _record(self, call: Call, outcome: Outcome) -> None:
        report = self.report
        report.count_final(call.load.name, call.code, outcome)
        report.repeated_calls += call.attempts > 1
        if outcome is Outcome.ANSWERED:
            report.record_latency(call.load.name, time.monotonic() - call.began)
        elif len(report.histories) < MAX_HISTORIES:
            report.histories.append(f"{outcome.value}: {call.path}: {'; '.join(call.history)}")
        if call.key is None:
            return
        if outcome is Outcome.ANSWERED:
            fate = Fate.CONFIRMED
        else:
            fate = Fate.UNKNOWN if call.may_have_run else Fate.NOT_RUN
        report.fates_by_key[call.key] = fate.value


def _is_expected(call: Call, response: CallResponse) -> bool:
    """Tell whether the response is the complete and expected one to this request."""
    if response.status != 200:
        return False
    if call.load.download_bytes:
        expected = download_etag(call.path).strip('"')
        return response.size == call.load.download_bytes and response.digest == expected
    return response.body == small_body(call.path, call.key)


def main() -> None:
    """Run the callers to their end; SIGTERM stops new arrivals early."""
    parser = argparse.ArgumentParser(prog="standins.caller")
    parser.add_argument("--settings", required=True, help="JSON file")
    settings = load_settings(CallerSettings, parser.parse_args().settings)
    reactor = serving.install_reactor()
    loop = asyncio.get_event_loop()
    tasks: list[asyncio.Task[None]] = []

    async def work() -> None:
        caller = Caller(settings)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, caller.stop)
        await caller.run()

    def begin() -> None:
        tasks.append(loop.create_task(work()))
        tasks[0].add_done_callback(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if error := tasks[0].exception():
        raise error


if __name__ == "__main__":
    main()

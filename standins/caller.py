"""A stand-in caller: looks up entries, sends requests in order of the list, repeats as it may.

Every call ends in one final answer or is counted as left without one. Bodies are checked whole.
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
from standins.callhttp import CallHttp, Got
from standins.callreport import Fate, Outcome, Report
from standins.content import download_etag, small_body

__all__ = ["Caller", "main"]

LOOKUP_PATIENCE_S = 2.0
PROGRESS_S = 2.0
MOST_HISTORIES = 50
NO_CODE = 0
HTTP_ERROR = 400
DEFAULT_RETRY_S = 0.2


@dataclass(slots=True)
class Found:
    """A cached look-up."""

    entries: list[Address]
    key_prefix: str
    until: float


class Source:
    """Callers at one address, who share kept connections and cached look-ups."""

    def __init__(self, host: str, entries: list[Address], rng: random.Random) -> None:
        self.http = CallHttp(host)
        self.lookups = 0
        self._entries = entries
        self._rng = rng
        self._found_by_service: dict[str, Found] = {}
        self._asking_by_service: dict[str, asyncio.Task[Found | None]] = {}

    async def lookup(self, service: str) -> Found | None:
        """Return the cached look-up while it lives; ask again after that."""
        found = self._found_by_service.get(service)
        if found is not None and time.monotonic() < found.until:
            return found
        asking = self._asking_by_service.get(service)
        if asking is None or asking.done():
            asking = asyncio.ensure_future(self._ask(service))
            self._asking_by_service[service] = asking
        return await asyncio.shield(asking) or found

    async def _ask(self, service: str) -> Found | None:
        """Ask the known entries in a turn of chance until one answers."""
        entries = list(self._entries)
        self._rng.shuffle(entries)
        for entry in entries:
            url = f"http://{entry.host}:{entry.port}/v1/lookup?service={service}"
            asked_at = time.monotonic()
            try:
                got = await self.http.call("GET", url, {}, LOOKUP_PATIENCE_S)
                if got.status != 200 or not got.whole:
                    continue
                document: dict[str, Any] = json.loads(got.body)
            except Exception:
                continue
            self.lookups += 1
            listed = [Address(host=e["host"], port=e["port"]) for e in document["entries"]]
            until = asked_at + document["lifetime_s"]
            found = Found(listed, document["key_prefix"], until)
            self._found_by_service[service] = found
            return found
        return None


@dataclass(slots=True)
class Call:
    """One call and what is known of it so far.

    Attributes
    ----------
    code : int
        Of the last answer; ``NO_CODE`` if there was none.
    maybe_run : bool
        An attempt ended without saying whether it ran.
    """

    load: Load
    path: str
    source: Source
    key: str | None
    began: float
    code: int = NO_CODE
    maybe_run: bool = False
    attempts: int = 0
    history: list[str] = field(default_factory=list)


class Caller:
    """All callers of one process."""

    def __init__(self, settings: CallerSettings) -> None:
        self.settings = settings
        self.report = Report()
        self.open_calls = 0
        self._rng = random.Random(f"{settings.name}/{settings.seed}")
        self._sources = [Source(h, settings.entries, self._rng) for h in settings.hosts]
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Begin no more calls; those begun go on to their end."""
        self._stopping.set()

    async def run(self) -> None:
        """Make all calls, then write the report."""
        progress = asyncio.ensure_future(self._show_progress())
        async with asyncio.TaskGroup() as group:
            for load in self.settings.loads:
                group.create_task(self._arrivals(load, group))
        progress.cancel()
        self._print_progress()
        self.report.lookups = sum(source.lookups for source in self._sources)
        Path(self.settings.report).write_text(self.report.dump())
        for source in self._sources:
            await source.http.close()

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_S)
            self._print_progress()

    def _print_progress(self) -> None:
        report = self.report
        print(
            f"{self.settings.name}: {report.calls()} ended, {self.open_calls} open,"
            f" {report.total(Outcome.ANSWERED)} answered, {report.total(Outcome.REFUSED)} refused",
            flush=True,
        )

    async def _arrivals(self, load: Load, group: asyncio.TaskGroup) -> None:
        """Begin calls at the times of a Poisson process, whatever became of earlier ones."""
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
        source = self._rng.choice(self._sources)
        call = Call(load, self._path(load, number), source, None, began)
        try:
            outcome = await self._attempts(call)
        except Exception as error:
            outcome = Outcome.NONE
            call.history.append(repr(error))
        self.open_calls -= 1
        self._note(call, outcome)

    def _path(self, load: Load, number: int) -> str:
        """Return a path that no other request has, but for downloads, which are few files."""
        if load.download_bytes:
            return f"{load.path}?bytes={load.download_bytes}"
        mark = "&" if "?" in load.path else "?"
        return f"{load.path}{mark}n={self.settings.name}-{load.name}-{number}"

    async def _attempts(self, call: Call) -> Outcome:
        """Try the listed entries in order until the answer is final."""
        last = Outcome.NONE
        for number in range(call.load.repeats + 1):
            left = call.began + call.load.patience_s - time.monotonic()
            found = await call.source.lookup(call.load.service)
            if found is None:
                call.history.append("no look-up")
                await asyncio.sleep(min(0.2, max(left, 0.0)))
                continue
            if call.load.keyed and call.key is None:
                call.key = self._new_key(call.load, found)
            entry = found.entries[number % len(found.entries)]
            if left <= 0:
                break
            outcome, wait = await self._attempt(call, entry, min(left, call.load.attempt_s))
            if wait is None:
                return outcome
            if outcome is not Outcome.NONE:
                last = outcome
            if time.monotonic() + wait > call.began + call.load.patience_s:
                break
            await asyncio.sleep(wait)
        return last

    def _new_key(self, load: Load, found: Found) -> str:
        own = f"{self._rng.getrandbits(96):024x}"
        if self._rng.random() < load.foreign_share:
            return f"own-{own}"
        return f"{found.key_prefix}.{own}"

    async def _attempt(
        self, call: Call, entry: Address, patience: float
    ) -> tuple[Outcome, float | None]:
        """Send once; return the outcome, and after how long to repeat it (None: final)."""
        call.attempts += 1
        delay = self.settings.delays.to_caller(entry.host, self.settings.region) / 1000
        await asyncio.sleep(delay)
        headers = {"Idempotency-Key": call.key} if call.key else {}
        url = f"http://{entry.host}:{entry.port}{call.path}"
        try:
            got = await call.source.http.call(call.load.method, url, headers, patience)
        except Exception as error:
            # Whether the entry took it is not known here: asking another one with the same key is
            # safe, because the key's home alone decides.
            call.history.append(f"{entry.host}:{entry.port} {type(error).__name__} {error}")
            call.maybe_run = call.maybe_run or not isinstance(error, ConnectError)
            return Outcome.NONE, 0.0
        await asyncio.sleep(delay)
        return self._weigh(call, got, entry)

    def _weigh(self, call: Call, got: Got, entry: Address) -> tuple[Outcome, float | None]:
        text = got.header(b"Briarspur-Code") or ""
        code = int(text) if text.isdigit() else NO_CODE
        self.report.attempt_codes[str(code)] += 1
        call.code = code
        call.history.append(f"{entry.host}:{entry.port} {got.status} {code} whole={got.whole}")
        if code not in CODES:
            call.maybe_run = True
            return Outcome.WRONG, None
        info = CODES[Code(code)]
        if code in (Code.ANSWERED, Code.REPLAYED):
            if not got.whole:
                call.code, call.maybe_run = NO_CODE, True
                return Outcome.NONE, 0.0
            if got.status >= HTTP_ERROR:
                call.maybe_run = True
                return Outcome.FAILED, None
            return (Outcome.ANSWERED if _is_right(call, got) else Outcome.WRONG), None
        if code == Code.ANSWERED_NOT_KEPT:
            return Outcome.ANSWERED, None
        call.maybe_run = call.maybe_run or info.ran is not Ran.NO
        outcome = Outcome.REFUSED if info.ran is Ran.NO else Outcome.UNKNOWN
        if info.repeat in (Repeat.SAME_KEY, Repeat.AFTER_RETRY_AFTER):
            return outcome, float(got.header(b"Retry-After") or DEFAULT_RETRY_S)
        return outcome, None

    def _note(self, call: Call, outcome: Outcome) -> None:
        report = self.report
        report.final(call.load.name, call.code, outcome)
        report.repeated_calls += call.attempts > 1
        if outcome is Outcome.ANSWERED:
            report.answered(call.load.name, time.monotonic() - call.began)
        elif len(report.histories) < MOST_HISTORIES:
            report.histories.append(f"{outcome.value}: {call.path}: {'; '.join(call.history)}")
        if call.key is None:
            return
        if outcome is Outcome.ANSWERED:
            fate = Fate.CONFIRMED
        else:
            fate = Fate.UNKNOWN if call.maybe_run else Fate.NOT_RUN
        report.fates_by_key[call.key] = fate.value


def _is_right(call: Call, got: Got) -> bool:
    """Tell whether the answer is the whole one to this very request."""
    if got.status != 200:
        return False
    if call.load.download_bytes:
        right = download_etag(call.path).strip('"')
        return got.size == call.load.download_bytes and got.digest == right
    return got.body == small_body(call.path, call.key)


def main() -> None:
    """Run the callers to their end; SIGTERM ends the arrivals early."""
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

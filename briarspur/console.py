"""The program ``briarspur-console``: web forms to edit and check the policy document."""

import sys
import time
from collections.abc import Sequence
from typing import Any

from briarspur import daemon
from briarspur.clicontext import VmDirectory
from briarspur.consolepages import Console
from briarspur.consoleweb import ConsoleSite
from briarspur.errors import SettingsError
from briarspur.exits import ExitCode
from briarspur.fetch import HttpFetcher
from briarspur.objects import VmList, open_store
from briarspur.operators import CsrfGuard, OperatorTokens
from briarspur.repository import PolicyRepository
from briarspur.serviceview import ServiceView
from briarspur.settings import ConsoleSettings

__all__ = ["ConsoleDaemon", "main"]

LISTEN_BACKLOG = 50


class ConsoleDaemon:
    """Serves operators' browsers, on loopback unless the settings name another address."""

    def __init__(self, settings: ConsoleSettings) -> None:
        from twisted.internet import reactor

        self._settings = settings
        self._reactor: Any = reactor
        self._store = open_store(settings.platform)
        self._vms = VmList(self._store)
        self._port: Any = None

    async def start(self) -> None:
        """Start listening."""
        settings = self._settings
        repository = PolicyRepository(self._store)
        view = ServiceView(
            repository,
            self._store,
            VmDirectory(self._vms),
            HttpFetcher(self._reactor, settings.platform.timeout_s),
            time.time,
        )
        guard = CsrfGuard()
        console = Console(repository, view, OperatorTokens(settings.token_file), guard)
        site = ConsoleSite(console, guard, settings.host, settings.form_bytes)
        self._port = self._reactor.listenTCP(settings.port, site, LISTEN_BACKLOG, settings.host)

    @property
    def port(self) -> int:
        """Port that the console listens on."""
        return int(self._port.getHost().port)

    async def stop(self) -> None:
        """Stop listening and close the store; drafts stay in the operators' browsers."""
        if self._port is not None:
            self._port.stopListening()
        await self._store.close()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the console; return its exit code."""
    try:
        return daemon.run("briarspur-console", ConsoleSettings, ConsoleDaemon, argv)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID


if __name__ == "__main__":
    sys.exit(main())

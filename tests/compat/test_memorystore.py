"""The in-memory store fulfils the same contract as the client of the platform."""

from collections.abc import Awaitable, Callable

from briarspur.coord.memorystore import MemoryStore
from briarspur.coord.store import ObjectStore
from tests.compat import store_contract
from tests.reactor import run


class MemoryStoreContractTest(store_contract.StoreContract):
    """The in-memory store fulfils the contract of ``ObjectStore``."""

    def with_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        async def fresh() -> None:
            await work(MemoryStore())

        run(fresh())

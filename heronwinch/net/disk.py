"""Runs a store in its own thread, so that the event loop never waits for the disk. Imported only if the
configuration has a section `ledger`."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from heronwinch.ledger.store import Store


class StoreThread:
    """A store whose calls are coroutines, run one at a time; they raise the errors of ledger/store.py."""

    def __init__(self, path):
        self.store = Store(path)
        self.loop = asyncio.get_running_loop()
        self.executor = ThreadPoolExecutor(1, "ledger")

    async def _run(self, call, *args):
        return await self.loop.run_in_executor(self.executor, call, *args)

    async def open(self):
        """Opens the store for writing and returns its StoreContents."""
        return await self._run(self._open_and_read)

    def _open_and_read(self):
        self.store.open()
        return self.store.read()

    async def start_new_file(self, rows):
        await self._run(self.store.start_new_file, rows)

    async def append(self, rows):
        await self._run(self.store.append, rows)

    async def rewrite(self, rows):
        await self._run(self.store.rewrite, rows)

    def close(self):
        self.executor.submit(self.store.close)
        self.executor.shutdown(wait=False)

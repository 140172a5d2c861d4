"""A dispatcher process with a limit of memory, among toy workers and a toy discovery."""

import asyncio
import os
import sys

from conftest import ROOT, ProgramHarness


class LimitedProgram(ProgramHarness):
    """A program with a limit of memory, which logs to a file: nobody reads a pipe while it is under
    pressure."""

    def __init__(self, folder, memory_mb, workers=36, mode="done", sockets=1024):
        super().__init__(folder, {}, workers, sockets)
        self.memory_mb = memory_mb
        self.log_path = folder / "log"
        for worker in self.workers:
            worker.mode = mode

    def build_config(self, changes):
        limits = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}
        return super().build_config({"limits": limits, **changes})

    async def start(self, **changes):
        environment = {
            "RELAY_CONFIG": str(self.write_config(**changes)),
            "PATH": os.environ["PATH"],
            "RELAY_DISCOVERY": self.discovery.dial,
        }
        with open(self.log_path, "ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-O", "-m", "heronwinch"), cwd=ROOT, stderr=log_file, env=environment
            )
        await self.wait_until_ready()

    async def stop(self):
        if self.process.returncode is None:
            self.process.terminate()
        async with asyncio.timeout(20):
            await self.process.wait()
        return self.process.returncode, self.log_path.read_text()

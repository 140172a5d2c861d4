"""Tests of the stand-ins for workers on real sockets."""

import asyncio

from conftest import encode_job

from examples import toy
from heronwinch.interface import SECOND

JOB_SECONDS = 0.02
AHEAD_NS = SECOND // 50


class WorkerWithSlowReports(toy.Worker):
    """A worker for which the jobs under way go on while it builds a report."""

    def build_load(self):
        self.model.advance_to(self.clock.now() + AHEAD_NS)
        return super().build_load()


# Guards against a job that ends while the answer to another one is written, and is not answered until the
# worker has something else to do.
def test_jobs_that_end_while_another_is_answered_are_answered_too():
    async def main():
        worker = await WorkerWithSlowReports("w", JOB_SECONDS).start()
        try:
            streams = []
            for number in range(2):
                reader, writer = await asyncio.open_connection(*worker.address)
                writer.write(encode_job("/render/1", id=f"job{number}"))
                streams.append((reader, writer))
                await asyncio.sleep(JOB_SECONDS / 4)
            async with asyncio.timeout(5):
                for reader, writer in streams:
                    await reader.readuntil(b'"done"')
                    writer.close()
        finally:
            worker.abort_all()

    asyncio.run(main())

"""Case 3: work passed on to a process that has had new settings meanwhile is dropped without an answer.

The platform replaces a dispatcher. While the old process stops, new settings without the category `hold-rate`
come into force in the new one. Clients that connected to the old process before hand in a job of that
category. The old process, which still has it, accepts the job and passes it on; the new one closes the
connection of the client.

TROUBLE=replacement and TROUBLE=settings leave the other disruption out."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from review.common.connection import was_request_read
from review.common.dispatcher import Client, build_config, category
from review.common.http import MessageError, read_body, read_head
from review.common.platform import launch_process, wait_until_ended, wait_until_yes
from review.common.record import Record
from review.common.worker import Discovery, KeyTable, Worker

FOLDER = Path(__file__).resolve().parent
CLIENTS = 10
EXPIRY = 5.0
WINDOW = 7.5
SLACK = 0.5  # seconds: an answer that comes later than this after the client's time is lost
CONNECT_AFTER = 0.9  # seconds from the start of the new process: it does not accept connections yet
NEW_SETTINGS_AFTER = 0.1  # seconds from SIGTERM
JOBS_AFTER = 0.3  # seconds from SIGTERM
MAX_STOP_SECONDS = 3.7  # SIGKILL comes this long after SIGTERM
RATE_QUOTE = category("rate-quote", "retryable", 10.0, WINDOW, "cell")
HOLD_RATE = category("hold-rate", "dedup", EXPIRY, WINDOW, "cell")


async def connect(address):
    """Opens a client's connection, on which nothing is sent yet."""
    return await asyncio.open_connection(*address)


async def hand_in(streams, id, record):
    """Hands in one job on a connection; returns the status, 0 if it was read and never answered, -1 if it was
    not read."""
    reader, writer = streams
    body = b"100 MYR"
    writer.write(
        (
            f"POST /hold-rate/1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\n"
            f"Req-Deadline: {EXPIRY:.3f}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        + body
    )
    record.write("submitted", id=id)
    sent_at = time.monotonic()
    try:
        async with asyncio.timeout(EXPIRY + SLACK):
            head = await read_head(reader)
            if head is None:
                raise MessageError("the connection ended with no answer")
            await read_body(reader, head[1])
    except (OSError, MessageError, TimeoutError) as error:
        is_read = await was_request_read(writer) or isinstance(error, TimeoutError)
        seconds = round(time.monotonic() - sent_at, 3)
        record.write("no_answer", id=id, read=is_read, seconds=seconds, why=str(error).replace(" ", "_"))
        return 0 if is_read else -1
    finally:
        writer.close()
    status = int(head[0].split(" ")[1])
    record.write("answered", id=id, status=status)
    return status


async def warm_up(address, record):
    """Hands in a few jobs, so that the workers are known."""
    for number in range(6):
        client = Client(address, record)
        await client.submit("/hold-rate/1", f"w-{number}", EXPIRY, f"wk-{number}")
        client.close()


async def replace_settings(processes, record):
    """Takes the category `hold-rate` out of the settings and has all processes read them."""
    process = processes[-1]
    process.config["settings"]["categories"] = [RATE_QUOTE]
    process.config["settings"]["family_info"]["class_stretch"] = [1.25]
    process.write_config()
    for each in processes:
        each.send_signal(signal.SIGHUP)


async def play(record, has_replacement, has_new_settings, folder):
    """Plays the case and returns the exit status."""
    keys = KeyTable(WINDOW)
    workers = [await Worker(f"s-{i}", record, 0.3, slots=4, keys=keys).start() for i in range(3)]
    discovery = await Discovery(workers, record).start()
    config = build_config(discovery.address, [RATE_QUOTE, HOLD_RATE])
    processes = []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(512)
        address = listener.getsockname()
        config["listen"] = "{}:{}".format(*address)
        try:
            old = await launch_process("old", config, folder, record, listener)
            processes.append(old)
            await wait_until_yes(old, record)
            await asyncio.sleep(1.2)
            await warm_up(address, record)
            if has_replacement:
                processes.append(await launch_process("new", config, folder, record, listener))
            await asyncio.sleep(CONNECT_AFTER)
            clients = [await connect(address) for _ in range(CLIENTS)]
            if has_replacement:
                await wait_until_yes(processes[-1], record)
                old.send_signal(signal.SIGTERM)
            await asyncio.sleep(NEW_SETTINGS_AFTER)
            if has_new_settings:
                await replace_settings(processes, record)
            await asyncio.sleep(JOBS_AFTER - NEW_SETTINGS_AFTER)
            jobs = [hand_in(streams, f"job-{number}", record) for number, streams in enumerate(clients)]
            statuses = await asyncio.gather(*jobs)
            if has_replacement:
                await wait_until_ended(old, record, MAX_STOP_SECONDS)
        finally:
            for process in processes:
                await process.end()
    lost = statuses.count(0)
    record.write("verdict", statuses=",".join(map(str, statuses)), lost=lost)
    return 1 if lost else 0


def main():
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1")
    has_replacement, has_new_settings = trouble in ("1", "replacement"), trouble in ("1", "settings")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, has_replacement, has_new_settings, folder), 100))
        except Exception as error:  # whatever it is, no rule was judged
            record.write("cannot_run", why=repr(error))
            return 2
        finally:
            for path in sorted(Path(folder).glob("*.log")):
                for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                    record.write("log", name=path.stem, line=line)


if __name__ == "__main__":
    sys.exit(main())

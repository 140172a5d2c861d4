"""The platform's side of a replacement of the process (`kit/more/ops/DAYS.md`).

It holds the clients' listening socket, which every process inherits, and starts and ends the processes."""

import asyncio
import contextlib
import signal

from review.common.dispatcher import CannotRunError, Dispatcher, find_free_port

START_SECONDS = 6.0  # the new process's yes is due within this time


async def ask_ready(address):
    """Whether a process says yes to the operators' call `readyz`."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"readyz\n")
            line = await reader.readline()
            writer.close()
            return line.startswith(b"+OK")
    return False


async def launch_process(name, config, folder, record, listener):
    """Starts a process that inherits the clients' listening socket, with a second address of its own."""
    mgmt = f"127.0.0.1:{find_free_port()}"
    environ = {
        "RELAY_LISTEN_FD": str(listener.fileno()),
        "RELAY_MGMT": mgmt,
        "RELAY_NAME": "d0",
        "RELAY_CONFIG": str(folder) + "/config.json",
    }
    process = Dispatcher(name, config, folder, record, environ)
    process.path = process.folder / "config.json"  # both processes read the same file
    process.mgmt = ("127.0.0.1", int(mgmt.rpartition(":")[2]))
    return await process.start(pass_fds=(listener.fileno(),))


async def wait_until_yes(process, record):
    """Waits until a process says that it can serve."""
    try:
        async with asyncio.timeout(START_SECONDS):
            while not await ask_ready(process.mgmt):
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise CannotRunError(f"{process.name} is not ready") from None
    record.write("ready", name=process.name)


async def wait_until_ended(process, record, kill_after):
    """Waits until a process that was told to stop has ended, and kills it after `kill_after` seconds."""
    try:
        await asyncio.wait_for(process.process.wait(), kill_after)
    except TimeoutError:
        process.send_signal(signal.SIGKILL)
        await process.process.wait()
    record.write("ended", name=process.name, status=process.process.returncode)

"""Runs a dispatcher on real sockets, configured by the environment variables RELAY_*.

A module of its own, so that both `__main__`, which loads no command line, and `cli` can start a
dispatcher."""

import asyncio
import gc
import logging
import os
import signal
import sys

import structlog

from heronwinch.net.machine import Machine
from heronwinch.plan import ConfigError, read_config
from heronwinch.policy import Dispatcher
from heronwinch.program import Program, StartupError

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def serve():
    """Runs one dispatcher until it stops, and returns the exit status: 0 after an orderly stop, 1 where the
    dispatcher cannot start (an address is in use, for instance), 2 where the configuration is invalid. Each
    error is one line on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    # A SIGHUP that arrives before the dispatcher can reload is remembered: the file may have changed after it
    # was read.
    early_sighups = []
    signal.signal(signal.SIGHUP, lambda *_: early_sighups.append(True))
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"heronwinch: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # objects made by the imports live on, so collections need not traverse them
    try:
        asyncio.run(_run_program(config, lambda: bool(early_sighups)))
    except StartupError as error:
        print(f"heronwinch: {error}", file=sys.stderr)
        return 1
    return 0


async def _run_program(config, has_missed_reload):
    """Runs the dispatcher; has to be called within the event loop that serves it."""
    await Program(
        config, Machine(), Dispatcher, lambda: read_config(os.environ, is_reload=True), has_missed_reload
    ).run()
    # The event loop takes back its handlers when it closes. A signal after that would kill the process, which
    # has stopped in order and is about to exit.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

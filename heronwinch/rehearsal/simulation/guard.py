"""Forbids clocks and random numbers that don't depend on the seed while a rehearsal runs in simulated time.

A single use of them would make a run with the same seed differ, so each raises an error that names its
caller.
"""

import asyncio
import contextlib
import os
import random
import sys
import time
import uuid

CLOCK_FUNCTIONS = (
    "time",
    "time_ns",
    "monotonic",
    "monotonic_ns",
    "perf_counter",
    "perf_counter_ns",
    "process_time",
    "process_time_ns",
    "sleep",
)
RANDOM_FUNCTIONS = (
    "random",
    "randrange",
    "randint",
    "choice",
    "choices",
    "shuffle",
    "sample",
    "uniform",
    "gauss",
    "expovariate",
    "getrandbits",
    "randbytes",
    "lognormvariate",
    "normalvariate",
    "triangular",
)


class UnseededSourceError(RuntimeError):
    """A clock or random number was asked for that doesn't depend on the seed."""


def _make_refusal(name):
    def refuse(*_, **__):
        frame = sys._getframe(1)
        raise UnseededSourceError(f"{name} called at {frame.f_code.co_filename}:{frame.f_lineno}")

    return refuse


@contextlib.contextmanager
def forbid_unseeded_sources():
    """Context in which the clocks and random functions of the standard library raise UnseededSourceError.

    References to them that were taken before still work.
    """
    original_seed = random.Random.seed

    def seed_if_given(self, a=None, version=2):
        if a is None:
            raise UnseededSourceError("random.Random() without a seed")
        original_seed(self, a, version)

    replacements = [(time, name, _make_refusal(f"time.{name}")) for name in CLOCK_FUNCTIONS]
    replacements += [(random, name, _make_refusal(f"random.{name}")) for name in RANDOM_FUNCTIONS]
    replacements += [
        (os, "urandom", _make_refusal("os.urandom")),
        (random, "_urandom", _make_refusal("SystemRandom")),
        (random.Random, "seed", seed_if_given),
    ]
    replacements += [(uuid, name, _make_refusal(f"uuid.{name}")) for name in ("uuid1", "uuid4")]
    replacements += [(asyncio, "to_thread", _make_refusal("asyncio.to_thread"))]
    originals = [(owner, name, getattr(owner, name)) for owner, name, _ in replacements]
    try:
        for owner, name, replacement in replacements:
            setattr(owner, name, replacement)
        yield
    finally:
        for owner, name, original in originals:
            setattr(owner, name, original)

"""A deterministic stand-in for asyncio and the operating system: clock, processes, network, files. The same
seed gives the same run."""

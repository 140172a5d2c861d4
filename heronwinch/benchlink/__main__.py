"""Reads batches on standard input, writes a reply to each on standard output, until the input ends."""

import gc
import sys

from heronwinch.benchlink.codec import FrameError, read_frame
from heronwinch.benchlink.host import Host
from heronwinch.terms import SettingsError


def main() -> int:
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    gc.freeze()  # what the imports made stays: collections need not walk it
    host = Host()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except (FrameError, SettingsError) as fault:
        print(f"heronwinch.benchlink: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Reads batches of events from standard input and writes a reply to each to standard output, until the input
ends."""

import gc
import sys

from heronwinch.benchlink.codec import FrameError, read_frame
from heronwinch.benchlink.host import DispatcherHost
from heronwinch.terms import SettingsError


def main() -> int:
    """Returns the exit status: 0 at the end of the input, 2 for invalid input, named in one line on
    stderr."""
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    gc.freeze()  # objects made by the imports live on, so collections need not traverse them
    host = DispatcherHost()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except (FrameError, SettingsError) as error:
        print(f"heronwinch.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

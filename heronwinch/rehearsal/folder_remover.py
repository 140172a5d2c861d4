"""A process that removes a folder of the rig once the rig has ended, in whatever way."""

import shutil
import signal
import sys


def main(folder):
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C in a terminal is meant for the rig
    sys.stdin.buffer.read()  # returns at the end of input, when the rig ends
    shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main(sys.argv[1])

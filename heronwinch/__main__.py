"""The entry point of `python -m heronwinch` and of the command `heronwinch`."""

import signal
import sys


def _is_serve_command():
    """Whether to run the dispatcher: without arguments, and for the command `serve` alone."""
    return len(sys.argv) < 2 or sys.argv[1:] == ["serve"]


if _is_serve_command():
    # A SIGHUP during the imports must not end the process. It can be ignored, as the configuration is read
    # later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from heronwinch.start import serve  # noqa: E402


def command():
    """Runs the dispatcher, without loading the command line, or else the command line; returns the exit
    status.

    `requirements.txt` installs only what a dispatcher needs. Where a package for the command line is missing,
    one line names it and says how to install it, and the status is 2."""
    if _is_serve_command():
        return serve()
    try:
        from heronwinch.cli import main as run
    except ModuleNotFoundError as error:
        print(f"heronwinch: {error.name} is missing; pip install .", file=sys.stderr)
        return 2
    return run()


if __name__ == "__main__":
    sys.exit(command())

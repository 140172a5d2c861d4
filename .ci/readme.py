"""Types the lines that README gives a newcomer, in a new folder with nothing installed.

The folder holds what git would check out (with changes not yet committed), so that nothing of this checkout
helps. Ends with 1 and the line at fault where one does not do what README says."""

import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LONGEST = 240  # seconds that one line may take
UP = 20  # seconds that a line which stays in the foreground may take to be of use
STAYS = ("toy.py", "heronwinch serve")  # lines that run up to Ctrl-C
# What a line has to print, where that says more than its exit status.
SAYS = {"--help": "rehearse", "curl": "HELLO", "rehearse": "all rules kept"}


def lines(text):
    """README's lines for the shell, up to the section of the module's use."""
    for line in text[: text.index("## How its parts fit")].splitlines():
        if re.match(r"    \S", line) and "move old.json" not in line:  # a file that the reader has, not we
            yield line.strip()


def checkout(folder):
    listed = subprocess.run(
        ["git", "ls-files", "-z", "-co", "--exclude-standard"], cwd=ROOT, check=True, capture_output=True
    )
    for name in listed.stdout.decode().split("\0"):
        if name and not name.startswith("journal/") and (ROOT / name).is_file():
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, folder / name)


def typed(line, folder, env):
    """What a line printed; RuntimeError where it failed, or printed something else."""
    done = subprocess.run(
        line,
        shell=True,
        cwd=folder,
        env=env,
        text=True,
        timeout=LONGEST,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    wanted = next((says for word, says in SAYS.items() if word in line), "")
    if done.returncode or wanted not in done.stdout:
        raise RuntimeError(f"README: {line}\nexit status {done.returncode}, wanted {wanted!r}\n{done.stdout}")


def play(folder):
    env = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(("PYTHON", "RELAY", "VIRTUAL"))
    }
    staying = []
    try:
        for line in lines((folder / "README.md").read_text()):
            print(f"README: {line}", flush=True)
            if any(word in line for word in STAYS):
                # The dispatcher twice among them: as it is first started, and to be tried with a fleet.
                if not any(line == other for other, _ in staying):
                    process = subprocess.Popen(f"exec env {line}", shell=True, cwd=folder, env=env)
                    staying.append((line, process))
                continue
            end = time.monotonic() + UP
            while True:
                try:
                    typed(line, folder, env)
                    break
                except RuntimeError:
                    # What stays in the foreground may still be starting.
                    if not staying or time.monotonic() > end:
                        raise
                    time.sleep(0.5)
        for line, process in staying:
            if process.poll() is not None:
                raise RuntimeError(f"README: {line}\nended by itself with {process.returncode}")
    finally:
        for _, process in staying:
            process.terminate()
        for _, process in staying:
            process.wait(10)


def main():
    with tempfile.TemporaryDirectory() as folder:
        checkout(Path(folder))
        try:
            play(Path(folder))
        except (RuntimeError, subprocess.TimeoutExpired) as fault:
            print(fault, file=sys.stderr)
            return 1
    print("README's lines do what they say")
    return 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Runs clang-tidy on all tracked sources, or on those given, with the compile commands in build/.

A file that was found clean before is skipped while its preprocessed text, its compile command, the
configuration and the version of clang-tidy are the same. PAPAYARACK_TIDY_CACHE sets the folder of these
records; removing it runs everything again.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("PAPAYARACK_TIDY_CACHE") or pathlib.Path.home() / ".cache/papayarack-tidy")


def output(command, **options):
    return subprocess.run(command, stdout=subprocess.PIPE, check=True, **options).stdout


def record_of(command, settings):
    """Path of the record that says that this text is clean, or None for a file that cannot be preprocessed."""
    words = shlex.split(command["command"])
    del words[words.index("-o"):words.index("-o") + 2]
    # Comments stay in the text, as NOLINT has effect; those inside macros are dropped.
    try:
        text = output(words + ["-E", "-C", "-w"], cwd=command["directory"], stderr=subprocess.DEVNULL)
    except subprocess.CalledProcessError:
        return None
    # The text names files by the path of the checkout, which differs between worktrees.
    text = text.replace(str(ROOT).encode(), b"") + " ".join(words).replace(str(ROOT), "").encode()
    return CACHE / hashlib.sha256(settings + text).hexdigest()


def check(command, settings):
    """Output of clang-tidy for one file, empty if the file is clean."""
    record = record_of(command, settings)
    if record and record.exists():
        return ""
    run = subprocess.run(["clang-tidy", "-p", "build", "--quiet", command["file"]], cwd=ROOT, text=True,
                         stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=False)
    if run.returncode == 0 and record:
        record.touch()
    return run.stdout or ("" if run.returncode == 0 else f"{command['file']}: clang-tidy ended with {run.returncode}\n")


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    names = sys.argv[1:] or output(["git", "ls-files", "*.cpp"], cwd=ROOT, text=True).split()
    wanted = {str(ROOT / name) for name in names}
    commands = [c for c in json.loads((ROOT / "build/compile_commands.json").read_text()) if c["file"] in wanted]
    missing = wanted - {c["file"] for c in commands}
    for name in sorted(missing):
        print(f"{name}: no compile command")
    settings = output(["clang-tidy", "--version"]) + (ROOT / ".clang-tidy").read_bytes()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        problems = [text for text in pool.map(lambda c: check(c, settings), commands) if text]
    print("".join(problems), end="")
    return 1 if problems or missing else 0


if __name__ == "__main__":
    sys.exit(main())

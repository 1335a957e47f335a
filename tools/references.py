"""Checks that the log reference of docs/OPERATIONS.md matches the code.

Each event that src/ or platform/ logs must be listed in the page's event
tables, and each listed event must occur in the code.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
LOGGED = re.compile(r'Log\(\s*LogLevel::\w+,\s*"([a-z_]+)"')
ROW = re.compile(r"^\| ((?:`[a-z_]+`\s*)+)\|", re.MULTILINE)


def sources():
    for folder in ("src", "platform"):
        for path in sorted((ROOT / folder).rglob("*.[ch]*")):
            if "tests" not in path.parts:
                yield path.read_text()


def main():
    text = "\n".join(sources())
    logged = set(LOGGED.findall(text))
    listed = set()
    for cell in ROW.findall(PAGE.read_text()):
        listed.update(re.findall(r"`([a-z_]+)`", cell))
    problems = [f"{event}: logged, not in {PAGE.name}" for event in logged - listed]
    problems += [
        f"{event}: in {PAGE.name}, not in the code"
        for event in listed
        if f'"{event}"' not in text
    ]
    for problem in sorted(problems):
        print(problem)
    print(f"{len(logged)} events logged, {len(listed)} listed, {len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

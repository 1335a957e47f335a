"""What became of the requests that the processes of a soak run read whole.

Each request that a process read must have been answered or refused, or left by its caller; a
process that ends after a signal may leave none open.
"""

import http.client
import json
import re
import time

METRICS = 9464
PREFIX = "papayarack_requests_"
SETTLE_S = 8.0
SERVERS = ("front", "control", "ready")  # Not of the metrics: the request that reads them is open.
LINE = re.compile(PREFIX + r'([a-z]+)(?:_total)?\{server="([a-z]+)"[^}]*\} ([0-9]+)')


def parse(text):
    """Counts by server and name."""
    counts = {}
    for name, server, value in LINE.findall(text):
        of_server = counts.setdefault(server, {})
        of_server[name] = of_server.get(name, 0) + int(value)
    return counts


def read(host):
    """The counts of a process; None if it does not answer."""
    connection = http.client.HTTPConnection(host, METRICS, timeout=2)
    try:
        connection.request("GET", "/metrics")
        return parse(connection.getresponse().read().decode())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def problem(counts):
    """Why the counts of one server do not add up; None if they do."""
    ended = sum(counts.get(name, 0) for name in ("answered", "refused", "left", "cut"))
    if counts["read"] != ended + counts["open"]:
        return f"{counts['read']} requests read, {ended} ended, {counts['open']} open"
    return None


def check_stopping(name, host, checks):
    """Checks a process that is about to end; requests may be open."""
    for server, counts in (read(host) or {}).items():
        if why := problem(counts):
            checks.fail(f"{name} {server}: {why}")


def check_stopped(name, log_lines, checks):
    """Checks what a process that ended after a signal has logged last."""
    for line in log_lines:
        if "requests_at_end" not in line:
            continue
        counts = json.loads(line)
        if counts["open"]:
            checks.fail(f"{name} ended with {counts['open']} requests open: {line.strip()}")


def check_calm(name, host, checks):
    """Checks a process that nobody calls any more: nothing may stay open."""
    until = time.time() + SETTLE_S
    while True:
        all_counts = read(host)
        if all_counts is None:
            checks.fail(f"{name} does not tell what became of its requests")
            return {}
        calm = {server: counts for server, counts in all_counts.items() if server in SERVERS}
        left_open = [server for server, counts in calm.items() if counts["open"]]
        if not left_open or time.time() > until:
            break
        time.sleep(0.1)
    for server, counts in calm.items():
        why = problem(counts) or (f"{counts['open']} requests stay open" if counts["open"] else None)
        if why:
            checks.fail(f"{name} {server}: {why}")
    return calm

"""Callers of the soak test that burden others: organisations with limits, one of which sends far more at times."""

import threading
import time

from soakcalls import stream_call

# "steady" has no limit, "mild" stays at half of its limit, "hot" is above its limit during peaks.
LIMITS = {"steady": (0, 0), "mild": (8, 8), "hot": (6, 6)}  # Requests per second, burst.
ORGANISATIONS = [{"Name": name, "ApiKeys": ["key-" + name], "RatePerS": rate, "Burst": burst}
                 for name, (rate, burst) in LIMITS.items()]
USUAL_CALLERS = {"mild": 2, "hot": 2}
PEAK_CALLERS = 12  # More of "hot": seven times its usual load.
CALL_INTERVAL_S = 0.5
WINDOW_S = 5.0


def identity(organisation="steady"):
    return {"Host": "h.example", "Api-Key": "key-" + organisation}


class OrganisationUse:
    """What the callers of one organisation were answered. Thread safe."""

    def __init__(self, name):
        self.name, self.lock = name, threading.Lock()
        self.answers = []  # (sent, ended, status)

    def add(self, sent, status):
        with self.lock:
            self.answers.append((sent, time.time(), status))

    def count(self, status):
        return sum(answer[2] == status for answer in self.answers)

    def most_in_window(self):
        """Most requests certainly admitted in one window: those sent and answered within it."""
        served = [(sent, ended) for sent, ended, status in self.answers if status == 200]
        return max((sum(start <= sent and ended <= start + WINDOW_S for sent, ended in served) for start, _ in served),
                   default=0)

    def check(self, checks):
        rate, burst = LIMITS[self.name]
        bound = (rate * WINDOW_S + burst) * 1.1 + 20
        if (most := self.most_in_window()) > bound:
            checks.fail(f"{self.name}: {most} requests ran within {WINDOW_S:.0f} s, {bound:.1f} may")
        if self.name == "mild" and (refused := [sent for sent, _, status in self.answers if status == 429]):
            checks.fail(f"{self.name} is below its limit and was answered 429 {len(refused)} times, first as of {refused[0]:.3f}")


class LimitedCallers:
    """Callers of the organisations with limits, and the peaks of "hot"."""

    def __init__(self, fleet, checks, rng, stop):
        self.fleet, self.checks, self.stop = fleet, checks, stop
        self.uses = {name: OrganisationUse(name) for name in USUAL_CALLERS}
        self.peak = threading.Event()
        self.peaks = 0
        always = threading.Event()
        always.set()
        work = [(self.call, use, always) for use in self.uses.values() for _ in range(USUAL_CALLERS[use.name])]
        work += [(self.call, self.uses["hot"], self.peak)] * PEAK_CALLERS + [(self.begin_peaks,)]
        self.threads = [threading.Thread(target=run, args=(type(rng)(rng.random()), *args), daemon=True)
                        for run, *args in work]

    def begin_peaks(self, rng):
        while not self.stop.wait(rng.uniform(0.5, 3)):
            self.peak.set()
            self.peaks += 1
            self.stop.wait(rng.uniform(2, 5))
            self.peak.clear()

    def call(self, rng, use, active):
        self.stop.wait(rng.uniform(0, CALL_INTERVAL_S))
        while not self.stop.is_set():
            if not active.wait(0.05):
                continue
            sent, path = time.time(), f"/online/{rng.randrange(1 << 40):x}"
            headers = {"Request-Id": path, "Deadline-Ms": "5000", **identity(use.name)}
            status, _, _ = stream_call(rng.choice(self.fleet.proxies).address, headers, path)
            use.add(sent, status)
            self.checks.check_status(use.name, path, status)
            self.stop.wait(max(0.0, sent + CALL_INTERVAL_S - time.time()))

    def report(self):
        """Checks the answers; returns a summary. Precondition: the callers have ended."""
        for use in self.uses.values():
            use.check(self.checks)
        hot = self.uses["hot"]
        return (f"hot: {self.peaks} peaks, {len(hot.answers)} sent, {hot.count(200)} served, {hot.count(429)} over limit, "
                f"most in a window {hot.most_in_window()}")

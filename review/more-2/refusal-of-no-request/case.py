"""Bytes that belong to no request are taken for a refusal: the request is sent to another replica, and runs twice."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib-3"))
import smallfleet  # noqa: E402  pylint: disable=wrong-import-position

# The refusal that PROTOCOL.md names for a request without an id; it has no Request-Id.
EXTRA = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
TIMES, CALLERS = 1, 6
# The most of `garble` in the site file: share 0.6, x 0.03, 5 s.
MOST_X, MOST_S = 0.03, 5.0


async def scenario(folder, trouble):
    fleet = smallfleet.SmallFleet(folder, replicas=2, event_s=0.005)
    try:
        if not await fleet.start(smallfleet.configuration(1, resumable=False)):
            raise RuntimeError("the fleet did not start")
        hit = []

        def before(request):
            if not trouble or len(hit) == TIMES:
                return b""
            hit.append(request)
            return EXTRA

        fleet.replicas[0].before = before
        end = time.monotonic() + MOST_S

        async def caller():
            while time.monotonic() < end:
                request = fleet.new_id()
                fleet.record.note(f"client sends {request} to {fleet.entries[0]}")
                response = await smallfleet.call(
                    fleet.entries[0], smallfleet.FRONT, "POST", f"/online/{request}",
                    {"Request-Id": request, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "100,20",
                     "Prompt-Prefix": f"aa:50,{request}:50"}, b"prompt")
                fleet.record.note(f"client gets {response.status} for {request}, whole {response.whole}")

        await asyncio.gather(*(caller() for _ in range(CALLERS)))
        runs = {}
        for replica in fleet.replicas:
            for run in replica.seen:
                runs.setdefault(run.request, []).append(run.replica)
        twice = {request: at for request, at in runs.items() if len(at) > 1}
        for request, at in twice.items():
            fleet.record.note(f"{request} ran at {at}")
        fleet.record.note(f"{len(runs)} requests ran, {len(hit)} times additional bytes, {len(twice)} ran twice")
        answers = len(fleet.replicas[0].seen)
        fleet.record.note(f"{answers} runs at the faulty replica in {MOST_S} s, x {len(hit) / answers:.4f}")
        if len(hit) > MOST_X * answers:
            raise RuntimeError(f"dose above the limit: {len(hit)} of {answers}")
        if trouble and not hit:
            raise RuntimeError("no connection was kept")
        return f"TWICE: {len(twice)} requests that may not be repeated ran at two replicas" if twice else None
    finally:
        fleet.stop()


smallfleet.run(HERE, scenario)

"""Bytes that belong to no request are taken for a refusal: the request is sent to another replica, and runs twice."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib-3"))
import smallfleet  # noqa: E402  pylint: disable=wrong-import-position

# The refusal that PROTOCOL.md names for a request without an id; it has no Request-Id.
EXTRA = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
TIMES, REQUESTS = 1, 60


async def scenario(folder, trouble):
    fleet = smallfleet.SmallFleet(folder, replicas=3)
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
        for number in range(REQUESTS):
            request = fleet.new_id()
            fleet.record.note(f"client sends {request} to {fleet.entries[0]}")
            response = await smallfleet.call(
                fleet.entries[0], smallfleet.FRONT, "POST", f"/online/{request}",
                {"Request-Id": request, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "100,20",
                 "Prompt-Prefix": f"aa:50,{number:04x}bb:50"}, b"prompt")
            fleet.record.note(f"client gets {response.status} for {request}, whole {response.whole}")
            if len(hit) == TIMES:
                break
        runs = {}
        for replica in fleet.replicas:
            for run in replica.seen:
                runs.setdefault(run.request, []).append(run.replica)
        twice = {request: at for request, at in runs.items() if len(at) > 1}
        for request, at in twice.items():
            fleet.record.note(f"{request} ran at {at}")
        fleet.record.note(f"{len(runs)} requests ran, {len(hit)} times additional bytes, {len(twice)} ran twice")
        if trouble and not hit:
            raise RuntimeError("no connection was kept")
        return f"TWICE: {len(twice)} requests that may not be repeated ran at two replicas" if twice else None
    finally:
        fleet.stop()


smallfleet.run(HERE, scenario)

"""LOST: a route whose prefix lies under that of a batch route is added; accepted items are neither run nor given up."""
import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import BATCH, STREAM, TROUBLE, Deployment, call, play  # noqa: E402

NEW_ROUTE = {**STREAM, "Name": "r-new", "PathPrefix": BATCH["PathPrefix"] + "3/"}
FINISH_S = 18.0  # FinishS is 18.
CALM_S = 5.0
ITEMS = 60


async def case(record):
    deployment = Deployment(record, replicas=2)
    for replica in deployment.replicas:
        replica.event_s = 0.1  # An item takes two seconds.
    try:
        await deployment.begin()
        await deployment.configure([STREAM, BATCH])
        await deployment.ready_all()
        await asyncio.sleep(2)
        host = deployment.entries()[0]
        batch = f"{random.randrange(1 << 64):016x}"
        ids = [f"{random.randrange(1 << 64):016x}" for _ in range(ITEMS)]
        items = [{"Id": item, "Path": f"{BATCH['PathPrefix']}3/{item[:4]}", "Body": "q83vEjRWeJA=", "Tokens": 40,
                  "Headers": {"Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{item}:20"}} for item in ids]
        status, _, _ = await call(host, deployment.front, "POST", BATCH["PathPrefix"] + batch,
                                  {"Request-Id": batch, "Content-Type": "application/json"}, json.dumps({"Items": items}))
        record(f"batch {batch}: {status}")
        if status != 202:
            raise RuntimeError("the batch job was not accepted")
        await asyncio.sleep(1)
        if TROUBLE:
            await deployment.configure([STREAM, BATCH, NEW_ROUTE])
        traffic_ended = time.monotonic()
        last_run = last_listed = traffic_ended
        listed = 0
        while time.monotonic() < traffic_ended + FINISH_S + CALM_S:
            now = time.monotonic()
            running = [replica.running for replica in deployment.replicas]
            last_run = now if any(running) else last_run
            status, _, body = await asyncio.wait_for(
                call(host, deployment.front, "GET", f"/lots/{batch}?After=0", {}, ""), 5)
            count = len(json.loads(body)["Results"]) if status == 200 else listed
            last_listed = now if count != listed else last_listed
            listed = count
            record(f"read: {status}, {listed} of {ITEMS} listed; running at the replicas: {running}")
            if listed == ITEMS:
                return []
            await asyncio.sleep(0.5)
        now = time.monotonic()
        quiet = now - last_run >= CALM_S and now - last_listed >= CALM_S
        if not quiet:
            raise RuntimeError("replicas were still at work")
        return [f"LOST: {ITEMS - listed} of {ITEMS} items of an accepted, open batch job are listed neither as complete nor "
                f"as dead_lettered {now - traffic_ended:.0f} s after the end of the traffic; no replica had one of them for "
                f"{now - last_run:.0f} s"]
    finally:
        deployment.end()


play(pathlib.Path(__file__).parent, case)

"""UNASKED: line breaks in an item's header value reach the replica as the end of a head; what follows runs as a request."""
import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import BATCH, HOST, STREAM, TROUBLE, Deployment, call, play  # noqa: E402

SMUGGLED = "5e1f00d55e1f00d5"
HIDDEN = (f"n\r\nContent-Length: 0\r\n\r\nPOST {BATCH['PathPrefix']}3/hidden HTTP/1.1\r\nHost: {HOST}\r\n"
          f"Request-Id: {SMUGGLED}\r\nModel: m\r\nToken-Usage: 20,20\r\nX-Rest: n")


async def case(record):
    deployment = Deployment(record, replicas=2)
    try:
        await deployment.begin()
        await deployment.configure([STREAM, BATCH])
        await deployment.ready_all()
        await asyncio.sleep(2)
        host = deployment.entries()[0]
        batch = f"{random.randrange(1 << 64):016x}"
        ids = [f"{random.randrange(1 << 64):016x}" for _ in range(4)]
        items = []
        for number, item in enumerate(ids):
            note = HIDDEN if TROUBLE and number == 1 else "n"
            items.append({"Id": item, "Path": f"{BATCH['PathPrefix']}3/{item[:4]}", "Body": "q83vEjRWeJA=", "Tokens": 40,
                          "Headers": {"Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{item}:20", "X-Note": note}})
        record(f"client sends batch {batch} with items {' '.join(ids)}")
        status, _, _ = await call(host, deployment.front, "POST", BATCH["PathPrefix"] + batch,
                                  {"Request-Id": batch, "Content-Type": "application/json"}, json.dumps({"Items": items}))
        record(f"batch {batch}: {status}")
        await asyncio.sleep(4)
        status, _, body = await call(host, deployment.front, "GET", f"/lots/{batch}?After=0", {}, "")
        record(f"read: {status} {body[:200]!r}")
        runs = [(replica.name, request) for replica in deployment.replicas for request, _ in replica.runs]
        strange = [(name, request) for name, request in runs if request not in ids]
        if not strange:
            return []
        return [f"UNASKED: {strange[0][0]} ran {strange[0][1]}, an id that no client sent ({len(strange)} runs)"]
    finally:
        deployment.end()


play(pathlib.Path(__file__).parent, case)

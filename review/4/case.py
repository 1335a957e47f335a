"""LOST: a batch route for anonymous callers is added on a host; the batch jobs of tenants on that host are answered 404."""
import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import BATCH, STREAM, TROUBLE, Deployment, call, play  # noqa: E402

TENANT = "t-4be1"
KEY = "7d1c55e09a3b42f6"
OPEN_ROUTE = {**BATCH, "Name": "r-open", "PathPrefix": "/open77/", "AllowAnonymous": True}
SETTLE_S = 1.0  # SettleMs is 1000.
CONFIG_APPLY_S = 2.5  # ConfigApplyMs is 2500; longer than any bound that counts here.
ITEMS = 10


class WithTenants(Deployment):
    """Settings and configuration of a deployment whose callers have keys."""

    def settings(self, name):
        path = super().settings(name)
        file = pathlib.Path(path)
        text = file.read_text(encoding="utf-8")
        text = text.replace("batch,stream,engine", "health,pool,batch,stream,engine,tenants,quota")
        text += "Bounds.StrictRevoke=true\nBounds.RevokeMs=5000\nBounds.QuotaWindowS=5\nBounds.QuotaSlack=20\n"
        file.write_text(text, encoding="utf-8")
        return path

    def configuration(self, routes, version):
        document = json.loads(super().configuration(routes, version))
        document["Tenants"] = [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 0}]
        return json.dumps(document)


async def case(record):
    deployment = WithTenants(record, replicas=2)
    try:
        await deployment.begin()
        await deployment.configure([STREAM, BATCH])
        await deployment.ready_all()
        await asyncio.sleep(2)
        entries = deployment.entries()
        batch = f"{random.randrange(1 << 64):016x}"
        ids = [f"{random.randrange(1 << 64):016x}" for _ in range(ITEMS)]
        items = [{"Id": item, "Path": f"{BATCH['PathPrefix']}3/{item[:4]}", "Body": "q83vEjRWeJA=", "Tokens": 40,
                  "Headers": {"Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{item}:20"}} for item in ids]
        status, _, _ = await call(entries[0], deployment.front, "POST", BATCH["PathPrefix"] + batch,
                                  {"Request-Id": batch, "Content-Type": "application/json", "Api-Key": KEY},
                                  json.dumps({"Items": items}))
        record(f"batch {batch} of {TENANT}: {status}")
        if status != 202:
            raise RuntimeError("the batch job was not accepted")
        accepted = time.monotonic()
        await asyncio.sleep(SETTLE_S + 1)
        breaks = []

        async def look(when):
            for host in entries:
                status, _, body = await asyncio.wait_for(
                    call(host, deployment.front, "GET", f"/lots/{batch}?After=0", {"Api-Key": KEY}, ""), 5)
                listed = len(json.loads(body)["Results"]) if status == 200 else 0
                age = time.monotonic() - accepted
                record(f"{when}: {host} answers {status} to a read, {listed} results, {age:.1f} s after the 202")
                if status in (404, 410):
                    breaks.append(f"LOST: {host} answers {status} for an accepted batch job, {age:.1f} s after the 202")

        await look("before")
        if TROUBLE:
            await deployment.configure([STREAM, BATCH, OPEN_ROUTE])
        await asyncio.sleep(CONFIG_APPLY_S)
        for _ in range(3):
            await look("after")
            await asyncio.sleep(0.5)
        status, _, _ = await call(entries[1], deployment.front, "DELETE", f"/lots/{batch}", {"Api-Key": KEY}, "")
        record(f"the end of the batch job is answered {status}")
        return breaks
    finally:
        deployment.end()


play(pathlib.Path(__file__).parent, case)

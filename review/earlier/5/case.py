"""A replica in trouble answers one item with bytes that are no events, without end, and is sound otherwise."""
import asyncio
import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet  # noqa: E402

JOBS, ITEMS = 3, 8
TROUBLE_S = 5.0
FINISH_S = 18  # FinishS.
LINE = b"\x11\x02 proto 7 unreadable frame\r\n\r\n"
LINE_GAP_S = 0.05


class Babbling(fleet.Replica):
    babbles = False  # The next answer to an item, at whichever replica, is bytes without end.

    def __init__(self, *args):
        super().__init__(*args)
        self.answers = 0
        self.open = {}  # Item: connection on which such bytes are still being sent.

    async def answer(self, writer, number, path, fields, request_id):
        self.answers += 1
        if not self.babbles or not path.startswith("/pule252/"):
            return await super().answer(writer, number, path, fields, request_id)
        Babbling.babbles = False
        self.record(f"{self.name} conn {number} answers {request_id} with bytes without end; it does not run it")
        self.open[request_id] = number
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: seal-{request_id}\r\n"
                      f"Instance-Id: {self.name}\r\nContent-Type: text/event-stream\r\n\r\n").encode())
        try:
            while True:
                writer.write(LINE)
                await writer.drain()
                await asyncio.sleep(LINE_GAP_S)
        finally:
            del self.open[request_id]
            self.record(f"{self.name} conn {number} closed by the caller of {request_id}")


def job_body(job):
    return json.dumps({"Items": [
        {"Id": f"{job}-{i}", "Path": f"/pule252/{job}/{i}", "Headers": {"Model": "m", "Token-Usage": "100,20"},
         "Body": base64.b64encode(b"hello").decode(), "Tokens": 120} for i in range(ITEMS)]})


async def case(record):
    deployment = fleet.Deployment(record, replicas=3, make=Babbling)
    try:
        await deployment.begin()
        await deployment.configure([fleet.STREAM, fleet.BATCH])
        await deployment.ready_all()
        entries = deployment.entries()
        Babbling.babbles = fleet.TROUBLE
        begun = time.monotonic()
        for number in range(JOBS):
            job = f"job{number:05d}"
            for attempt in range(20):
                status, _, _ = await fleet.call(entries[attempt % 3], deployment.front, "POST",
                                                f"/pule252/{job}", {"Request-Id": job}, job_body(job))
                record(f"client got {status} for {job}")
                if status == 202:
                    break
                await asyncio.sleep(0.8)
            else:
                raise fleet.CannotRun("no batch job was accepted")
            await asyncio.sleep(1)
        await asyncio.sleep(max(0, begun + TROUBLE_S - time.monotonic()))
        Babbling.babbles = False
        record("the trouble is over; FinishS begins")
        await asyncio.sleep(FINISH_S)
        breaks = []
        for number in range(JOBS):
            job = f"job{number:05d}"
            status, _, body = await fleet.call(entries[0], deployment.front, "GET", f"/lots/{job}?After=0", {}, "")
            listed = {result["Id"]: result["State"] for result in json.loads(body)["Results"]} if status == 200 else {}
            record(f"{job}: read {status}, {len(listed)} of {ITEMS} listed")
            at_work = {request_id for replica in deployment.replicas for request_id in replica.open}
            for item in (f"{job}-{i}" for i in range(ITEMS)):
                if item not in listed:
                    breaks.append(f"LOST: {item} is not listed {FINISH_S} s after the end of the trouble; no replica runs it"
                                  + (", one still sends bytes for it" if item in at_work else ""))
        record(f"answers: {[replica.answers for replica in deployment.replicas]}, all but one of them sound")
        record(f"running at the replicas: {[replica.running for replica in deployment.replicas]}")
        return breaks
    finally:
        deployment.end()


fleet.play(pathlib.Path(__file__).parent, case)

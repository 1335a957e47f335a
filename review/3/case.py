"""A replica's refusal comes twice, the second copy late; the request has been sent to it again by then."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet  # noqa: E402

BROKEN = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)
TROUBLE_S = 5.0
VICTIM_GAP_S = 0.7
ROUTE = {**fleet.STREAM, "Name": "r-d3zji9n", "PathPrefix": "/pufi791/", "Resumable": False, "MaxAttempts": 1}


class TwiceAnswering(fleet.Replica):
    """Is full for a moment when it first gets one of the marked requests, and refuses it (503, Not-Executed). The first
    replica spoils: it sends that answer once more, late, where the next answer on the connection is expected."""

    def __init__(self, *args):
        super().__init__(*args, events=8, event_s=0.01)
        self.refused = set()
        self.late = {}  # By connection: bytes of the second copy.
        self.spoils = False
        self.answers = self.spoiled = 0

    async def serve(self, reader, writer, number, path, fields, length):
        await reader.readexactly(length)
        request_id = fields["request-id"]
        late = self.late.pop(number, None)
        if late:
            self.record(f"{self.name} conn {number} sends its earlier answer once more, before that to {request_id}")
            writer.write(late)
            await writer.drain()
            self.spoiled += 1
        self.answers += 1
        status = self.refusal(fields)
        if not status and request_id.startswith("victim") and request_id not in self.refused:
            self.refused.add(request_id)
            status = 503
        if not status:
            return await self.answer(writer, number, path, fields, request_id)
        self.record(f"{self.name} conn {number} refuses {request_id} with {status}")
        data = self.bytes_of(status, b"", [("Not-Executed", "1")], request_id)
        writer.write(data)
        await writer.drain()
        if fleet.TROUBLE and self.spoils and status == 503 and request_id.startswith("victim"):
            self.late[number] = data
        return True


async def ask(deployment, record, entry, request_id):
    record(f"client sends {request_id}")
    try:
        status, _, body = await asyncio.wait_for(fleet.call(
            entry, deployment.front, "POST", f"/pufi791/{request_id}",
            {"Request-Id": request_id, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "10,20"}, "hello"), 6)
        status = f"{status} with {body.count(b'id: ')} events"
    except BROKEN as error:
        status = repr(error)
    record(f"client got {status} for {request_id}")


async def ordinary(deployment, record, client, stop):
    """A client's other requests, at the other entries."""
    number = 0
    while not stop.is_set():
        number += 1
        await ask(deployment, record, deployment.entries()[1 + client % 2], f"plain{client}-{number:04d}")


async def case(record):
    deployment = fleet.Deployment(record, replicas=2, make=TwiceAnswering)
    deployment.replicas[0].spoils = True
    try:
        await deployment.begin()
        await deployment.configure([fleet.STREAM, ROUTE])
        await deployment.ready_all()
        stop = asyncio.Event()
        clients = [asyncio.create_task(ordinary(deployment, record, client, stop)) for client in range(8)]
        await asyncio.sleep(1)
        until = asyncio.get_running_loop().time() + TROUBLE_S
        victim = 0
        while asyncio.get_running_loop().time() < until:
            victim += 1
            await ask(deployment, record, deployment.entries()[0], f"victim{victim:02d}")
            await asyncio.sleep(VICTIM_GAP_S)
        stop.set()
        await asyncio.gather(*clients)
        runs = {}
        for replica in deployment.replicas:
            record(f"{replica.name}: {replica.spoiled} of {replica.answers} answers came twice")
            for request_id, _ in replica.runs:
                runs.setdefault(request_id, []).append(replica.name)
        return [f"TWICE: {request_id}, which isn't idempotent, ran at {' and at '.join(where)}"
                for request_id, where in runs.items() if len(where) > 1]
    finally:
        deployment.end()


fleet.play(pathlib.Path(__file__).parent, case)

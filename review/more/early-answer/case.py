"""UNASKED: a replica rejects a long request before it has read the body, keeps the connection and reads on later."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import STREAM, TROUBLE, Deployment, Replica, call, play  # noqa: E402

LONG_BYTES = 3_900_000  # MaxBodyBytes is 4194304.
REPLICAS = 4  # Two of them reject early: a share of 0.5.
READS_ON_AFTER_S = 0.8
MIN_ANSWERS = 200  # Of a replica, for four early rejections: x = 0.02.
CLIENTS = 8
SMALL_WINDOW = 8192
EARLY = 4


def body_of(request):
    """A body that tells at each place whose it is."""
    unit = (request + "-").encode()
    return (unit * (LONG_BYTES // len(unit) + 1))[:LONG_BYTES]


class EarlyReplica(Replica):
    """Rejects one long request before it is in, when `early` is set; then reads the rest of its body."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.receive_buffer = SMALL_WINDOW
        self.early = 0
        self.breaks = []

    async def serve(self, reader, writer, number, path, fields, length):
        request = fields.get("request-id", "")
        if length < LONG_BYTES or self.early == 0:
            return await super().serve(reader, writer, number, path, fields, length)
        self.early -= 1
        self.record(f"{self.name} conn {number} rejects {request} before its {length} bytes are in")
        self.send(writer, 503, "", [("Not-Executed", "1")], request)
        await writer.drain()
        await asyncio.sleep(READS_ON_AFTER_S)
        return await self.read_rest(reader, number, request, length)

    async def read_rest(self, reader, number, request, length):
        due = body_of(request)
        taken = 0
        while taken < length:
            part = await reader.read(min(1 << 16, length - taken))
            if not part:
                self.record(f"{self.name} conn {number} is closed after {taken} bytes of {request}")
                return False
            if part != due[taken:taken + len(part)]:
                wrong = next(i for i, byte in enumerate(part) if byte != due[taken + i])
                self.breaks.append(f"UNASKED: {self.name} gets other bytes at {taken + wrong} of the body of {request}: "
                                   f"{part[wrong:wrong + 90]!r}")
                self.record(self.breaks[-1])
                return False
            taken += len(part)
        self.record(f"{self.name} conn {number} has read the rest of {request}")
        return True


async def ask(deployment, record, host, body):
    request = f"{random.randrange(1 << 64):016x}"
    fields = {"Request-Id": request, "Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{request}:20",
              "Deadline-Ms": "5000"}
    path = STREAM["PathPrefix"] + request[:6]
    record(f"client sends {request}, {'a long request' if body else 'a short one'}")
    try:
        status, _, _ = await asyncio.wait_for(
            call(host, deployment.front, "POST", path, fields, body_of(request) if body else "x"), 6)
        record(f"client {request}: {status}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"client {request}: {error!r}")


async def client(deployment, record, host, stopped):
    while not stopped.is_set():
        await ask(deployment, record, host, False)
        await asyncio.sleep(0.01)


async def case(record):
    deployment = Deployment(record, replicas=REPLICAS, make=EarlyReplica)
    stopped = asyncio.Event()
    clients = []
    try:
        await deployment.begin()
        await deployment.configure([STREAM])
        await deployment.ready_all()
        await asyncio.sleep(2)
        host = deployment.entries()[0]
        clients = [asyncio.create_task(client(deployment, record, host, stopped)) for _ in range(CLIENTS)]
        while min(len(replica.runs) for replica in deployment.replicas[:2]) < MIN_ANSWERS:
            await asyncio.sleep(0.1)
        for replica in deployment.replicas[:2]:
            replica.early = EARLY if TROUBLE else 0
        for _ in range(14):
            await ask(deployment, record, host, True)
            await asyncio.sleep(1)
        stopped.set()
        await asyncio.gather(*clients)
        await asyncio.sleep(2)
        return [text for replica in deployment.replicas for text in replica.breaks]
    finally:
        for task in clients:
            task.cancel()
        deployment.end()


play(pathlib.Path(__file__).parent, case)

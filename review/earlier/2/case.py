"""A replica refuses long requests before it has read them, keeps the connections and reads on later."""
import asyncio
import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet  # noqa: E402

BODY_BYTES = 4_000_000  # Below MaxBodyBytes (4,194,304).
READS_ON_AFTER_S = 0.4
TROUBLE_S = 5.0
LONG_GAP_S = 1.25
LONG_ONES = int(TROUBLE_S / LONG_GAP_S)
BROKEN = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)


@functools.lru_cache(maxsize=None)
def long_body(request_id):
    """Every 16 bytes name the request and the position."""
    return b"".join(b"%8s%07d\n" % (request_id.encode()[:8], at) for at in range(BODY_BYTES // 16))


def same_bytes(got, sent):
    """Length of the common beginning."""
    low, high = 0, min(len(got), len(sent))
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if got[low:middle] == sent[low:middle] else (low, middle - 1)
    return low


class EarlyReplica(fleet.Replica):
    """The replica that spoils refuses long requests (503, Not-Executed: it is full for them) before it has read the
    body, keeps the connection, and reads the rest 0.4 s later. The other one, and both without the trouble, read the
    whole body first."""

    def __init__(self, *args):
        super().__init__(*args, events=5, event_s=0.01)
        self.receive_buffer = 8192
        self.spoils = False
        self.answers = self.early = 0
        self.breaks = []

    async def serve(self, reader, writer, number, path, fields, length):
        self.answers += 1
        if length < 100_000:
            return await super().serve(reader, writer, number, path, fields, length)
        request_id = fields["request-id"]
        early = self.spoils and fleet.TROUBLE
        got = b"" if early else await reader.readexactly(length)
        self.record(f"{self.name} conn {number} refuses {request_id}, {length} bytes, {len(got)} read")
        self.send(writer, 503, "", [("Not-Executed", "1")], request_id)
        await writer.drain()
        if early:
            self.early += 1
            await asyncio.sleep(READS_ON_AFTER_S)
            got = await self.read_on(reader, length)
        return self.compare(number, request_id, got, length)

    async def read_on(self, reader, length):
        parts, left = [], length
        try:
            while left:
                part = await asyncio.wait_for(reader.read(min(left, 65536)), 3)
                if not part:
                    break
                parts.append(part)
                left -= len(part)
        except (ConnectionError, asyncio.TimeoutError):
            pass
        return b"".join(parts)

    def compare(self, number, request_id, got, length):
        sent = long_body(request_id)
        same = same_bytes(got, sent)
        self.record(f"{self.name} conn {number} read {len(got)} of {length} bytes of {request_id}, {same} as sent")
        if same < len(got):
            self.record(f"{self.name} conn {number} byte {same}: {got[same:same + 160]!r}, due: {sent[same:same + 32]!r}")
            self.breaks.append(f"UNASKED: in place of byte {same} of the body of {request_id}, {self.name} got "
                               f"{got[same:same + 60]!r}")
        return same == length


async def ask(deployment, record, entry, request_id, body):
    record(f"client sends {request_id}, {len(body)} bytes")
    try:
        status, _, _ = await asyncio.wait_for(fleet.call(
            entry, deployment.front, "POST", f"/lohu930/{request_id}",
            {"Request-Id": request_id, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "10,20"}, body), 6)
    except BROKEN as error:
        status = repr(error)
    record(f"client got {status} for {request_id}")


async def short_calls(deployment, record, client, stop):
    """A client's ordinary requests, one after another."""
    number = 0
    while not stop.is_set():
        number += 1
        await ask(deployment, record, deployment.entries()[client % 3], f"short{client}-{number:04d}", b"hello")


async def case(record):
    deployment = fleet.Deployment(record, replicas=2, make=EarlyReplica)
    try:
        await deployment.begin()
        await deployment.configure([fleet.STREAM])
        await deployment.ready_all()
        stop = asyncio.Event()
        clients = [asyncio.create_task(short_calls(deployment, record, client, stop)) for client in range(12)]
        await asyncio.sleep(1)
        for number in range(LONG_ONES):
            long_body(f"long{number:04d}")
        deployment.replicas[0].spoils = True
        long_ones = []
        for number in range(LONG_ONES):
            request_id = f"long{number:04d}"
            long_ones.append(asyncio.create_task(
                ask(deployment, record, deployment.entries()[0], request_id, long_body(request_id))))
            await asyncio.sleep(LONG_GAP_S)
        deployment.replicas[0].spoils = False
        await asyncio.gather(*long_ones)
        stop.set()
        await asyncio.gather(*clients)
        await asyncio.sleep(4)
        for replica in deployment.replicas:
            record(f"{replica.name}: {replica.early} of {replica.answers} answers were early")
        for name, process in deployment.processes.items():
            if process.poll() is not None:
                record(f"{name} ended by itself with {process.returncode}")
        return [text for replica in deployment.replicas for text in replica.breaks]
    finally:
        deployment.end()


fleet.play(pathlib.Path(__file__).parent, case)

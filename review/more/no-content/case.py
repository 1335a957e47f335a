"""MIXED: a replica's 204 is passed on with chunks; on a kept connection the client gets bytes that are no answer."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import HOST, STREAM, TROUBLE, Deployment, Replica, play  # noqa: E402

ROUTE = {**STREAM, "RouteType": "idempotent"}


class NoContentReplica(Replica):
    async def answer(self, writer, number, path, fields, request_id):
        self.record(f"{self.name} conn {number} runs {request_id} {path}")
        status, body = (204, "") if TROUBLE and path.endswith("/1") else (200, "a body of " + request_id)
        answer = self.bytes_of(status, body.encode(), [("Response-Seal", "seal-" + request_id)], request_id)
        if status == 204:  # It has no body and, by HTTP/1.1, no length.
            answer = answer.replace(b"Content-Length: 0\r\n", b"")
        writer.write(answer)
        await writer.drain()
        return True


async def case(record):
    deployment = Deployment(record, replicas=2, make=NoContentReplica)
    try:
        await deployment.begin()
        await deployment.configure([ROUTE])
        await deployment.ready_all()
        await asyncio.sleep(2)
        reader, writer = await asyncio.open_connection(deployment.entries()[0], deployment.front)
        for number in range(3):
            request = f"{random.randrange(1 << 64):016x}"
            writer.write(f"POST {ROUTE['PathPrefix']}{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
                         f"Model: m\r\nToken-Usage: 20,20\r\nPrompt-Prefix: {request}:20\r\nDeadline-Ms: 5000\r\n"
                         f"Content-Length: 1\r\n\r\nx".encode())
            await writer.drain()
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            record(f"client {request}: {head!r}")
            if not head.startswith(b"HTTP/1.1 "):
                return [f"MIXED: in place of the next answer the client gets {head[:40]!r}"]
            if not head.startswith(b"HTTP/1.1 204"):
                length = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:"))
                await reader.readexactly(int(length.split(b":")[1]))
        writer.close()
        return []
    finally:
        deployment.end()


play(pathlib.Path(__file__).parent, case)

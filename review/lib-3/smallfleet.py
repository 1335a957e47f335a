"""A small deployment on loopback for one review script: 3 entries, 3 stores, a gate beside each replica.

The processes of the project are started with the command of the deploy file. Replicas and the
platform's list of replicas are stand-ins in this process, written from PROTOCOL.md. Every address is
a loopback address of one /16 network that is drawn at random.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/src/app/papayarack")
PEER, FRONT, READY, CONTROL, APP, LIST = 7720, 8161, 8167, 8166, 8160, 8169
HOST = "h.example"
BORN = int(time.time() * 1000)


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()


Item = collections.namedtuple("Item", "id path headers body tokens")
Run = collections.namedtuple("Run", "replica request path headers body first at")


class Response:
    """An HTTP response as a client saw it. `whole`: it ended as its head promised."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole


async def read_head(reader):
    """First line and header fields (names in lower case), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in
                      (line.partition(":") for line in lines[1:] if line)}


async def read_body(reader, headers):
    """Body and whether it is whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"0", 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0))), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        return getattr(error, "partial", b""), False


async def call(host, port, method, path, headers=None, body=b"", timeout=8.0):
    """One request on a connection of its own."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            fields = {"Host": HOST, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            writer.write(f"{method} {path} HTTP/1.1\r\n".encode() +
                         "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode() + b"\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return Response()
            got, whole = await read_body(reader, head[1])
            return Response(int(head[0].split()[1]), head[1], got, whole)
    except (OSError, TimeoutError):
        return Response()
    finally:
        if writer is not None:
            writer.close()


class Replica:
    """A model replica. It echoes Request-Id, signs its responses, refuses what names another instance
    and drops a run when its connection closes.

    `before(request)` is called with the id of each request for tokens that arrives on a connection that
    has carried one before; the bytes it returns are sent ahead of the response. A run of the request
    `crashing` ends the replica as it begins to answer; it is back after `down_s` under the same id."""

    crashing = None
    down_s = 2.0

    def __init__(self, name, host, record, events, event_s, slots):
        self.name, self.host, self.record = name, host, record
        self.events, self.event_s, self.slots = events, event_s, slots
        self.running, self.seen, self.crashes = 0, [], []
        self.born, self.before, self.writers = BORN, lambda request: b"", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, APP)

    def text(self, path):
        return [f"{path}-{number}" for number in range(1, self.events + 1)]

    async def serve(self, reader, writer):
        carried = 0
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body, whole = await read_body(reader, headers)
                if not whole:
                    return
                method, path, _ = line.split()
                if method == "GET":
                    writer.write(self.answer_get(path))
                    await writer.drain()
                    continue
                carried += 1
                if not await self.serve_run(writer, path, headers, body, carried > 1):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_get(self, path):
        body = b"" if path != "/report" else json.dumps(
            {"Stage": "hybrid", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": 0, "Waiting": 0,
             "Running": self.running, "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": self.born}).encode()
        return (f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nInstance-Id: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def refuse(self, writer, status, request):
        writer.write((f"HTTP/1.1 {status} Refused\r\nRequest-Id: {request}\r\nInstance-Id: {self.name}\r\n"
                      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
        await writer.drain()
        return True

    async def serve_run(self, writer, path, headers, body, kept):
        """Returns whether the connection is kept."""
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return await self.refuse(writer, 421, request)
        if self.running >= self.slots:
            return await self.refuse(writer, 503, request)
        extra = self.before(request) if kept else b""
        if extra:
            self.record.note(f"{self.name} sends additional bytes on a kept connection, ahead of its response to {request}: {extra!r}")
            writer.write(extra)
            await writer.drain()
        first = int(headers.get("last-event-id", 0)) + 1
        self.seen.append(Run(self.name, request, path, headers, body, first, time.monotonic()))
        self.record.note(f"{self.name} begins to run {request} {path} at event {first}, Model {headers.get('model')}, "
                         f"body {body!r}")
        self.running += 1
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nInstance-Id: {self.name}\r\n"
                          f"Response-Seal: {self.name}.{len(self.seen)}\r\nContent-Type: text/event-stream\r\n"
                          f"Transfer-Encoding: chunked\r\n\r\n").encode())
            if request == Replica.crashing:
                await asyncio.sleep(0.03)
                asyncio.get_running_loop().create_task(self.crash())
                await asyncio.sleep(1)
                return False
            event_s = self.event_s * random.uniform(0.5, 1.5)  # Runs differ in their lengths.
            for number, text in list(enumerate(self.text(path), 1))[first - 1:]:
                await asyncio.sleep(event_s)
                event = f"id: {number}\ndata: {text}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.note(f"{self.name} has sent all of {request}")
            return True
        except (ConnectionError, OSError):
            self.record.note(f"{self.name} dropped {request}: its connection closed")
            return False
        finally:
            self.running -= 1

    async def crash(self):
        self.record.note(f"{self.name} crashes")
        self.crashes.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.record.note(f"{self.name} is back")


class SmallFleet:
    """The processes of the project, by name, and the stand-ins around them."""

    def __init__(self, folder, replicas=4, events=20, event_s=0.02, slots=8):
        self.folder = folder
        self.record = Record(folder)
        self.data = tempfile.mkdtemp(prefix="papayarack-review-")
        self.processes, self.first = {}, True
        self.network = self.free_network()
        self.entries = [f"{self.network}.1.{i}" for i in (1, 2, 3)]
        self.stores = [f"{self.network}.2.{i}" for i in (1, 2, 3)]
        self.sides = [f"{self.network}.3.{i}" for i in range(1, replicas + 1)]
        self.platform = f"{self.network}.9.1"
        self.replicas = [Replica(f"i-{i:08x}", host, self.record, events, event_s, slots) for i, host in enumerate(self.sides, 1)]
        self.counter = itertools.count(random.randrange(1 << 32))

    @staticmethod
    def free_network():
        while True:
            network = f"127.{random.randrange(16, 250)}"
            try:
                for port in (PEER, FRONT, CONTROL):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1.1", port))
                return network
            except OSError:
                continue

    def new_id(self):
        return f"{next(self.counter):016x}"

    def names(self):
        return ([f"entry-{i}" for i in range(len(self.entries))] + [f"store-{i}" for i in range(len(self.stores))] +
                [f"gate-{i}" for i in range(len(self.sides))])

    def start_process(self, name):
        kind, number = name.split("-")
        host = {"entry": self.entries, "store": self.stores, "gate": self.sides}[kind][int(number)]
        machine = {"entry": "edge", "store": "storage", "gate": "side"}[kind]
        lines = [f"NodeName={name}", f"Role={kind}", f"MachineClass={machine}", f"Ip={host}", "Zone=a", "Region=r",
                 f"PortRange={PEER},{PEER + 15}", "Seeds=" + ",".join(f"{entry}:{CONTROL}" for entry in self.entries),
                 f"Bootstrap={'true' if self.first else 'false'}", "LossCounts=" + ("false" if kind == "gate" else "true"),
                 "Tolerate.Machines=1", "Tolerate.Zones=0", "Tolerate.Regions=0", "Bounds.ContactMs=3000", "Bounds.AckMs=4000",
                 "Bounds.ReuseAfterS=2", "Bounds.DrainMs=3000", "Bounds.GraceS=8", "Bounds.ConfigApplyMs=2000",
                 "Bounds.FinishS=18", "Bounds.StatusS=120", "Bounds.CancelMs=3000", "Bounds.SettleMs=1000", "Bounds.QuotaOver=0.1",
                 f"Cloud.Address={self.platform}:{LIST}", "Cloud.RatePerS=47.0", "Cloud.MaxLagMs=800"]
        if kind == "entry":
            lines += [f"Listen.Front={host}:{FRONT}", f"Listen.Ready={host}:{READY}", f"Listen.Control={host}:{CONTROL}"]
        if kind == "gate":
            lines += [f"app={host}:{APP}", "Service=llm"]
        else:
            lines.append("DataDir=" + os.path.join(self.data, name))
            os.makedirs(os.path.join(self.data, name), exist_ok=True)
        path = os.path.join(self.data, name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        with open(os.path.join(self.data, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([PROGRAM, "fleet-node"], cwd=ROOT, stdout=log, stderr=log,
                                                    env={**os.environ, "PAPAYARACK_CONFIG": path})

    async def serve_list(self, reader, writer):
        try:
            while await read_head(reader) is not None:
                body = json.dumps({"Instances": [
                    {"Id": replica.name, "Service": "llm", "Address": f"{replica.host}:{APP}", "Zone": "a", "Version": "v1",
                     "Slots": replica.slots, "State": "ready", "ColdLeftMs": 0, "Stage": "hybrid", "born": replica.born,
                     "Models": [{"Name": "m", "Version": 1, "Adapters": []}]} for replica in self.replicas], "Next": None}).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def start(self, configuration):
        """Starts all; returns whether the configuration is acknowledged and every entry is ready."""
        self.list_server = await asyncio.start_server(self.serve_list, self.platform, LIST)
        for replica in self.replicas:
            await replica.start()
        for name in self.names():
            self.start_process(name)
        self.first = False
        if not await self.until(lambda: self.replace(self.entries[0], configuration), 15):
            return False
        for entry in self.entries:
            if not await self.until(lambda: self.is_ready(entry), 15):
                return False
        await asyncio.sleep(3)  # All stores have joined their group.
        return True

    async def replace(self, entry, configuration):
        response = await call(entry, CONTROL, "POST", "/config/replace", {"Content-Type": "application/json"},
                              json.dumps(configuration).encode(), 2)
        self.record.note(f"operator: configuration {configuration['Version']} at {entry}: {response.status}")
        return response.status == 200

    async def is_ready(self, entry):
        return (await call(entry, READY, "GET", "/ready", timeout=1)).status == 200

    @staticmethod
    async def until(condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    def new_batch(self, count, shared="aa"):
        """Id and items of a batch; `shared` is the first part of all prompts."""
        batch = self.new_id()
        return batch, [Item(self.new_id(), f"/batch/{batch}/{i}", {"Model": "m", "Token-Usage": "100,20",
                                                                  "Prompt-Prefix": f"{shared}:50,{batch}{i:04x}:50"},
                            f"body {i} of {batch}".encode(), 120) for i in range(count)]

    async def submit(self, entry, batch, items):
        """Status of one attempt to submit a batch."""
        document = {"Items": [{"Id": item.id, "Path": item.path, "Headers": item.headers,
                               "Body": base64.b64encode(item.body).decode(), "Tokens": item.tokens} for item in items]}
        self.record.note(f"batch {batch} of {len(items)} items, {sum(item.tokens for item in items)} tokens, is sent to {entry}")
        response = await call(entry, FRONT, "POST", f"/batch/{batch}", {"Request-Id": batch, "Content-Type": "application/json"},
                              json.dumps(document).encode())
        self.record.note(f"batch {batch} is answered {response.status} by {entry}")
        return response.status

    async def accept(self, batch, items):
        """Submits until it is accepted."""
        for entry in itertools.cycle(self.entries):
            if await self.submit(entry, batch, items) == 202:
                return
            await asyncio.sleep(0.1)

    async def results(self, batch):
        """Listed results, or None where no entry tells them."""
        for entry in self.entries:
            response = await call(entry, FRONT, "GET", f"/lots/{batch}?After=0")
            if response.status == 200 and response.whole:
                return json.loads(response.body)["Results"]
        return None

    def job_leader(self):
        """Number of the store that leads the job group, by the logs of the stores."""
        newest = (0, None)
        for number in range(len(self.stores)):
            with open(os.path.join(self.data, f"store-{number}.log"), encoding="utf-8", errors="replace") as log:
                for line in log:
                    if '"group_leader"' in line and '"group":1,' in line and '"leads":true' in line:
                        newest = max(newest, (json.loads(line)["term"], number))
        return newest[1]

    async def restart(self, name):
        """Planned work: SIGTERM, and a start once the process has ended."""
        self.signal(name, signal.SIGTERM)
        await asyncio.to_thread(self.processes[name].wait, 10)
        self.start_process(name)
        self.record.note(f"{name} is started again")

    def signal(self, name, number):
        self.record.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.data, keep, dirs_exist_ok=True)
        shutil.rmtree(self.data, ignore_errors=True)


def configuration(version, cap=2600000, resumable=False):
    common = {"Host": HOST, "Service": "llm"}
    return {"Version": version, "Routes": [
        {"Name": "r-online", "PathPrefix": "/online/", "RouteType": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 300,
         "Priority": 0, "MaxAttempts": 1, "SessionAffinity": True, "Resumable": resumable, "GapAimMs": 200, **common},
        {"Name": "r-batch", "PathPrefix": "/batch/", "RouteType": "batch", "TimeoutMs": 15000, "TargetLatencyMs": 500,
         "ResultDeadlineMs": 18000, "MaxWaitS": 60, "MaxAttempts": 3, "Priority": 2, "Cap": cap, **common}],
        "Services": [{"Name": "llm", "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": False,
                      "Engine": {"Slots": 8, "KvCapacityTokens": 115224}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def run(folder, scenario):
    """Exit code of `scenario(fleet, trouble)`, which returns what broke the rule, or None if it held."""
    if not os.path.exists(PROGRAM):
        print("the program of the deploy file isn't built")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # So that the processes are ended.
    code = 2
    try:
        async def main():
            async with asyncio.timeout(110):
                return await scenario(folder, trouble)
        broken = asyncio.run(main())
        print("broken: " + broken if broken else "held")
        code = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
    sys.exit(code)

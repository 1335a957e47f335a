"""A small deployment on loopback addresses for the scripts of this folder.

Starts `papayarack fleet-node` as the deploy file does, with a settings file named by
PAPAYARACK_CONFIG, and plays the platform's list, the replicas, the clients and the operator.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/src/app/papayarack"
HOST = "nony24.example"
SERVICE = "huvo11a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464  # Fixed in the program.


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_ports(addresses, count):
    """Ports that are free at each of the addresses."""
    while True:
        first = random.randrange(20000, 60000 - count)
        probes = []
        try:
            for address in addresses:
                for port in [*range(first, first + count), METRICS_PORT]:
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


def head_of(data):
    """(first line, fields by lower-case name) of a head without its blank line."""
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_head(reader):
    return head_of((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return
        yield data


class Replica:
    """A replica by PROTOCOL.md: events with ids, resumption, refusals that say "Not-Executed".

    Subclasses override `serve` or `answer`.
    """

    def __init__(self, name, address, record, events=20, event_s=0.005, slots=8, zone="a"):
        self.name, self.address, self.record = name, address, record
        self.events, self.event_s, self.slots, self.zone = events, event_s, slots, zone
        self.running = 0
        self.connections = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.state = "ready"
        self.receive_buffer = None
        self.runs = []  # (request id, first event) of each run that began.

    async def listen(self):
        host, port = self.address
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        server.bind((host, port))
        self.server = await asyncio.start_server(self.connection, sock=server, limit=1 << 16)

    async def connection(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while await self.request(reader, writer, number):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer, number):
        line, fields = await read_head(reader)
        method, path, _ = line.split(" ", 2)
        length = int(fields.get("content-length", 0))
        if method == "GET":
            await reader.readexactly(length)
            await self.plain(writer, path)
            return True
        return await self.serve(reader, writer, number, path, fields, length)

    async def plain(self, writer, path):
        if path.startswith("/report"):
            self.send(writer, 200, json.dumps(self.report()), [("Content-Type", "application/json")])
        elif path.startswith("/health"):
            self.send(writer, 200, "", [])
        else:
            self.send(writer, 404, "", [("Not-Executed", "1")])
        await writer.drain()

    def report(self):
        return {"Stage": "hybrid", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": 0,
                "Waiting": 0, "Running": self.running, "KvUsed": 0, "KvTotal": 79783, "Handles": 0,
                "born": self.born}

    def send(self, writer, status, body, more, request_id=None):
        body = body.encode() if isinstance(body, str) else body
        writer.write(self.bytes_of(status, body, more, request_id))

    def bytes_of(self, status, body, more, request_id=None):
        fields = [*more, ("Instance-Id", self.name), ("Content-Length", str(len(body))),
                  ("Server-Load", f"{self.running},0,{self.slots}")]
        if request_id:
            fields.insert(0, ("Request-Id", request_id))
        head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n"
        return head.encode() + body

    def refusal(self, fields):
        """Status of a refusal, or 0."""
        if not fields.get("request-id"):
            return 400
        expected = fields.get("expect-instance", self.name)
        if expected != self.name:
            return 421
        return 503 if self.running >= self.slots else 0

    async def serve(self, reader, writer, number, path, fields, length):
        await reader.readexactly(length)
        request_id = fields.get("request-id", "")
        status = self.refusal(fields)
        if status:
            self.record(f"{self.name} conn {number} refuses {request_id} {path} with {status}")
            self.send(writer, status, "", [("Not-Executed", "1")], request_id)
            await writer.drain()
            return True
        return await self.answer(writer, number, path, fields, request_id)

    async def answer(self, writer, number, path, fields, request_id):
        await self.stream(writer, number, path, fields, request_id)
        return True

    async def stream(self, writer, number, path, fields, request_id):
        first = int(fields.get("last-event-id", 0)) + 1
        self.record(f"{self.name} conn {number} runs {request_id} {path} from event {first}")
        self.runs.append((request_id, first))
        self.running += 1
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: seal-{request_id}\r\n"
                          f"Instance-Id: {self.name}\r\nContent-Type: text/event-stream\r\n"
                          f"Transfer-Encoding: chunked\r\n\r\n").encode())
            for event in range(first, self.events + 1):
                text = f"id: {event}\ndata: {path}-{event}\n\n".encode()
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record(f"{self.name} conn {number} finished {request_id}")
        finally:
            self.running -= 1

    def listed(self):
        return {"Service": SERVICE, "Address": f"{self.address[0]}:{self.address[1]}", "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Stage": "hybrid",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Id": self.name, "born": self.born}


class Deployment:
    """Three entries with disks, three stores, and replicas with a gate beside each."""

    def __init__(self, record, replicas=2, entries=3, stores=3, diskless=0, make=Replica):
        self.record = record
        # In memory where that is possible: a busy disk, whose syncs take seconds, would be a disruption of its own.
        memory = "/dev/shm"
        self.folder = tempfile.mkdtemp(prefix="papayarack-review-", dir=memory if os.access(memory, os.W_OK) else None)
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.hosts = {}
        for kind, first, count in (("edge", 11, entries + diskless), ("storage", 41, stores), ("side", 71, replicas)):
            for i in range(count):
                self.hosts[f"{kind}-a-{i + 1}"] = f"{net}.{first + i}"
        self.with_disk = [name for name in self.hosts if name.startswith("storage")]
        self.with_disk += [f"edge-a-{i + 1}" for i in range(entries)]
        self.list_host = f"{net}.201"
        base = free_ports([*self.hosts.values(), self.list_host], 24)
        self.peer, self.front, self.ready, self.control, self.app, self.list_port = (
            base, base + 17, base + 18, base + 19, base + 20, base + 21)
        self.processes = {}
        self.first_start = True
        self.replicas = [make(f"i-{random.randrange(1 << 32):08x}", (self.hosts[f"side-a-{i + 1}"], self.app), record)
                         for i in range(replicas)]
        self.listed = self.replicas
        self.version = 0

    def entries(self):
        return [host for name, host in self.hosts.items() if name.startswith("edge")]

    def settings(self, name):
        kind = name.split("-")[0]
        host = self.hosts[name]
        serves = {"edge": "edge,control_plane", "storage": "storage", "side": "side"}[kind]
        role = {"edge": "entry", "storage": "store", "side": "gate"}[kind]
        lines = [f"NodeName={name}", f"Role={role}", f"MachineClass={kind}", f"Serves={serves}", f"Ip={host}", "Zone=a",
                 "Region=r", "Zones.a=r", f"PortRange={self.peer},{self.peer + 15}",
                 "Seeds=" + ",".join(f"{entry}:{self.control}" for entry in self.entries()[:3]),
                 f"Bootstrap={'true' if self.first_start else 'false'}",
                 f"LossCounts={'true' if name in self.with_disk else 'false'}",
                 "Limits.CpuShare=0.45", "Limits.Cores=1", "Limits.MemoryMb=260", "Limits.MaxFds=4100",
                 "Limits.LinkMbps=1000.0", "Limits.DiskMb=64", "Discovery=cloud_api", "Entry=vip", "HeartbeatMs=1200",
                 "Contracts=base,drain,config,cost,recover,batch,stream,engine", "Tolerate.Machines=1",
                 "Tolerate.Zones=0", "Tolerate.Regions=0", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2",
                 "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4.7", "Bounds.DrainMs=3000",
                 "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250",
                 "Bounds.MaxStretchMs=5000", "Bounds.RecoverS=12", "Bounds.PassMs=120", "Bounds.AgainS=0",
                 "Bounds.FinishS=18", "Bounds.StatusS=120", "Bounds.CancelMs=3000", "Bounds.SettleMs=1000",
                 "Bounds.QuotaOver=0.1", "ConfigMode=highest", f"Cloud.Address={self.list_host}:{self.list_port}",
                 "Cloud.RatePerS=47.0", "Cloud.Duties=", "Cloud.MaxLagMs=800"]
        if kind == "edge":
            lines += [f"Listen.Front={host}:{self.front}", f"Listen.Ready={host}:{self.ready}",
                      f"Listen.Control={host}:{self.control}"]
        if kind == "side":
            lines += [f"app={host}:{self.app}", f"Service={SERVICE}"]
        if name in self.with_disk:
            lines.append("DataDir=" + os.path.join(self.folder, "data-" + name))
        path = os.path.join(self.folder, name + ".conf")
        pathlib.Path(path).write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self, name):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(PROGRAM), "fleet-node"], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "LANG": "C",
                     "PAPAYARACK_CONFIG": self.settings(name)})
        self.record(f"started {name}")

    async def play_list(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"Instances": [replica.listed() for replica in self.listed], "Next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def begin(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        for replica in self.replicas:
            await replica.listen()
        await asyncio.start_server(self.play_list, self.list_host, self.list_port)
        for name in self.hosts:
            os.makedirs(os.path.join(self.folder, "data-" + name), exist_ok=True)
            self.start(name)
        self.first_start = False

    def configuration(self, routes, version):
        return json.dumps({"Version": version, "Routes": routes, "Services": [
            {"Name": SERVICE, "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": 8, "KvCapacityTokens": 79783, "KvTokenBytes": 163840, "LinkMbps": 550000.0,
                        "Moves": True, "Backups": True, "Stride": 6, "Cap": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
                        "handle_s": 5.0, "Models": [{"Name": "m"}]}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}})

    async def configure(self, routes, timeout_s=25):
        """Sends a configuration as the operator until it is acknowledged."""
        self.version += 3
        body = self.configuration(routes, self.version)
        until = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < until:
            host = self.entries()[turn % len(self.entries())]
            turn += 1
            try:
                status, _, _ = await asyncio.wait_for(
                    call(host, self.control, "POST", "/config/replace", {"Content-Type": "application/json"}, body), 1.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                self.record(f"operator: version {self.version} acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def ready_all(self, timeout_s=25):
        until = time.monotonic() + timeout_s
        for host in self.entries():
            while True:
                try:
                    status, _, _ = await asyncio.wait_for(call(host, self.ready, "GET", "/ready", {}, ""), 1)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{host} did not become ready")
                await asyncio.sleep(0.1)

    def kill(self, names):
        """Ends processes at the same moment, as a loss of power does; their disks stay."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()
        self.record("killed " + " ".join(names))

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(host, port, method, path, fields, body):
    """One request on a new connection; (status, fields, body)."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        return await exchange(reader, writer, method, path, fields, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, path, fields, body):
    body = body.encode() if isinstance(body, str) else body
    head = f"{method} {path} HTTP/1.1\r\n"
    fields = {"Host": HOST, **fields}
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    writer.write(head.encode() + body)
    await writer.drain()
    line, answer = await read_head(reader)
    status = int(line.split(" ")[1])
    if answer.get("transfer-encoding", "").lower() == "chunked":
        data = b"".join([part async for part in read_chunks(reader)])
    else:
        data = await reader.readexactly(int(answer.get("content-length", 0)))
    return status, answer, data


STREAM = {"Name": "r-wrr6x73", "Host": HOST, "PathPrefix": "/lohu930/", "RouteType": "streaming", "TimeoutMs": 5000,
          "TargetLatencyMs": 300, "Priority": 0, "Service": SERVICE, "MaxAttempts": 2, "SessionAffinity": True,
          "Resumable": True, "GapAimMs": 250}
BATCH = {"Name": "r-pule", "Host": HOST, "PathPrefix": "/pule252/", "RouteType": "batch", "TimeoutMs": 15000,
         "TargetLatencyMs": 500, "Priority": 2, "Service": SERVICE, "MaxAttempts": 3, "SessionAffinity": True,
         "Resumable": True, "GapAimMs": 250, "ResultDeadlineMs": 18000, "MaxWaitS": 60, "Cap": 2600000}


def play(folder, case):
    """Runs the coroutine `case(record)`, which returns the list of breaks; exits as the order asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # The processes are ended on the way out.
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as error:  # Also a fault of the stand-ins: it says nothing of the rule.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record(f"BROKEN: {text}")
        print(text)
    record("rule broken" if breaks else "rule held")
    print("rule broken" if breaks else "rule held")
    sys.exit(1 if breaks else 0)

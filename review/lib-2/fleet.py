"""A small deployment for the scripts of the cases: the project's program as separate processes, and stand-ins.

The processes are those of the deploy file (`target/src/app/papayarack fleet-node`, settings by PAPAYARACK_CONFIG).
The replicas and the platform's list are stand-ins in this process, written from the users' pages. All addresses are
loopback addresses, all files are in a temporary folder, and only processes started here get signals.
"""

import asyncio
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/src/app/papayarack"
HOST = "case.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def on_stop(number, frame):
    del number, frame
    raise SystemExit(2)


signal.signal(signal.SIGTERM, on_stop)  # So that the processes started here are ended, too.
signal.signal(signal.SIGINT, on_stop)


class CannotRun(Exception):
    """The case can't be played here: exit code 2."""


class Record:
    """Writes record.txt: what was sent, answered and run. Thread safe."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Engine:
    """A replica: streams `events` events a run, `event_s` apart, at most `slots` at once.

    It refuses with Not-Executed what names another instance (421) or finds no slot (503), resumes after
    Last-Event-Id, and drops a run when its connection closes.
    """

    def __init__(self, host, port, ident, record, slots=8, events=20, event_s=0.02, version="v1"):
        self.host, self.port, self.ident, self.record = host, port, ident, record
        self.slots, self.events, self.event_s, self.version = slots, events, event_s, version
        self.running, self.runs, self.whole = 0, [], {}
        self.last_busy = time.monotonic()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def data(self, path, number):
        return f"{path}-{number}"

    def text(self, path):
        return "\n".join(self.data(path, i) for i in range(1, self.events + 1))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {}
        for line in head[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return method, target, headers, body

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await self.read(reader)
                await self.answer(method, target, headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def plain(self, writer, status, body=b"", more=()):
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", f"Instance-Id: {self.ident}", *more]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    async def answer(self, method, target, headers, body, reader, writer):
        if target == "/report":
            report = {"Running": min(self.running, self.slots), "Waiting": 0, "Seq": 0, "Busy": False}
            await self.plain(writer, 200, json.dumps(report).encode())
            return
        if target == "/health":
            await self.plain(writer, 200)
            return
        request = headers.get("request-id", "")
        echo = f"Request-Id: {request}"
        if headers.get("expect-instance", self.ident) != self.ident:
            await self.plain(writer, 421, more=(echo, "Not-Executed: 1"))
            return
        if self.running >= self.slots:
            await self.plain(writer, 503, more=(echo, "Not-Executed: 1"))
            return
        await self.run(request, target, headers, writer, echo)

    async def run(self, request, target, headers, writer, echo):
        first = int(headers.get("last-event-id", "0")) + 1
        run = {"request": request, "path": target, "from": first, "began": self.record.now(), "ended": None}
        self.runs.append(run)
        self.running += 1
        self.last_busy = time.monotonic()
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{echo}\r\n"
                          f"Instance-Id: {self.ident}\r\nResponse-Seal: s.{request}\r\n\r\n").encode())
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {self.data(target, number)}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["ended"] = self.record.now()
            self.whole[request] = self.whole.get(request, 0) + 1
        finally:
            self.running -= 1
            self.last_busy = time.monotonic()


class Listing:
    """The platform's list of replicas, in pages of 50."""

    def __init__(self, host, port, engines):
        self.host, self.port, self.engines = host, port, engines

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                del head
                entries = [{"Id": e.ident, "Service": "llm", "Address": e.address, "Zone": "a", "Version": e.version,
                            "Slots": e.slots, "State": "ready", "ColdLeftMs": 0} for e in self.engines]
                body = json.dumps({"Instances": entries, "Next": None}).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Fleet:
    def __init__(self, record, entries=3, stores=3, engines=3, engine_type=Engine, **engine_options):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = record
        self.network = f"127.{random.SystemRandom().randrange(20, 250)}"
        self.port = self.free_base()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.processes, self.first = {}, True
        self.entries = [f"{self.network}.1.{i + 1}" for i in range(entries)]
        self.stores = [f"{self.network}.2.{i + 1}" for i in range(stores)]
        self.engines = [engine_type(f"{self.network}.3.{i + 1}", self.port + 8, f"i-{i}", record, **engine_options)
                        for i in range(engines)]
        self.list_host = f"{self.network}.9.1"
        self.tolerate = 1
        self.bounds = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.7, "DrainMs": 3000,
                       "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000,
                       "RecoverS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 18, "StatusS": 120, "CancelMs": 3000,
                       "SettleMs": 1000, "QuotaOver": 0.1}  # As in kivu-counters.
        self.memory_mb = {"entry": 260, "store": 290, "gate": 192}  # As in kivu-counters.
        self.watching = False
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        listing = Listing(self.list_host, self.port + 9, self.engines)
        for server in [*self.engines, listing]:
            asyncio.run_coroutine_threadsafe(server.start(), self.loop).result(5)

    def free_base(self):
        """A base of ports of which a few were free on this run's network."""
        for _ in range(50):
            base = random.SystemRandom().randrange(21000, 29000)
            try:
                for offset in (0, 1, 6, 7, 8, 9):
                    with socket.socket() as probe:
                        probe.bind((f"{self.network}.1.1", base + offset))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def front(self, number):
        return self.entries[number], self.port + 1

    def control(self, number):
        return self.entries[number], self.port + 6

    def settings(self, name):
        kind, number = name.split("-")
        host = {"entry": self.entries, "store": self.stores, "gate": [e.host for e in self.engines]}[kind][int(number)]
        machine = {"entry": "edge", "store": "storage", "gate": "side"}[kind]
        memory = self.memory_mb[kind]
        lines = [f"NodeName={name}", f"Role={kind}", f"MachineClass={machine}", f"Ip={host}", "Zone=a", "Region=r",
                 "Zones.a=r", f"PortRange={self.port + 20},{self.port + 35}",
                 "Seeds=" + ",".join(f"{e}:{self.port + 6}" for e in self.entries[:3]),
                 f"Bootstrap={'true' if self.first else 'false'}", "LossCounts=true", "Limits.Cores=1",
                 f"Limits.MemoryMb={memory}", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0",
                 "Contracts=base,drain,config,cost,recover,batch,stream,engine", f"Tolerate.Machines={self.tolerate}",
                 "Tolerate.Zones=0", "Tolerate.Regions=0", *[f"Bounds.{name}={value}" for name, value in self.bounds.items()],
                 "ConfigMode=highest", f"Cloud.Address={self.list_host}:{self.port + 9}", "Cloud.RatePerS=47.0",
                 "Cloud.MaxLagMs=800"]
        if kind == "entry":
            lines += ["Serves=edge,control_plane", f"Listen.Front={host}:{self.port + 1}",
                      f"Listen.Ready={host}:{self.port + 7}", f"Listen.Control={host}:{self.port + 6}"]
        if kind == "store":
            lines += ["Serves=storage"]
        if kind == "gate":
            lines += ["Serves=side", f"app={host}:{self.port + 8}", "Service=llm"]
        if kind != "gate":
            lines += [f"DataDir={self.folder}/data-{name}", "Limits.DiskMb=460"]
        path = self.folder / (name + ".conf")
        path.write_text("\n".join(lines) + "\n")
        return path

    def names(self):
        return ([f"entry-{i}" for i in range(len(self.entries))] + [f"store-{i}" for i in range(len(self.stores))] +
                [f"gate-{i}" for i in range(len(self.engines))])

    def start(self, name):
        path = self.settings(name)
        with open(self.folder / (name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([str(PROGRAM), "fleet-node"], cwd=ROOT, stdout=log, stderr=log,
                                                    env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder),
                                                         "LANG": "C.UTF-8", "PAPAYARACK_CONFIG": str(path)})

    def start_all(self, configuration):
        for name in self.names():
            self.start(name)
        self.configure(configuration)
        until = time.monotonic() + 20
        for number in range(len(self.entries)):
            while call(self.entries[number], self.port + 7, "GET", "/ready")[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun("the entries do not become ready")
                time.sleep(0.1)
        self.first = False
        time.sleep(2.0)

    def configure(self, configuration):
        until = time.monotonic() + 20
        number = 0
        while True:
            status = call(*self.control(number % len(self.entries)), "POST", "/config/replace", {}, json.dumps(configuration))[0]
            if status == 200:
                return
            if time.monotonic() > until:
                raise CannotRun(f"the configuration is not acknowledged: {status}")
            number += 1
            time.sleep(0.2)

    def watch_memory(self):
        """The platform: kills a process over its MemoryMb, and starts what has ended again after half a second."""
        self.watching, self.over_limit, self.restarts = True, {}, {}
        self.peak_between = {}
        self.watcher = threading.Thread(target=self.watch, daemon=True)
        self.watcher.start()

    def watch(self):
        due = {}
        while self.watching:
            for name, process in list(self.processes.items()):
                try:
                    self.look_at(name, process, due)
                except Exception as error:  # The watch goes on whatever one look meets.
                    self.record(f"platform: {name}: {error!r}")
            time.sleep(0.002)

    def look_at(self, name, process, due):
        if process.poll() is not None:
            if name not in due:
                due[name] = time.monotonic() + 0.5
            elif time.monotonic() >= due[name]:
                del due[name]
                self.restarts[name] = self.restarts.get(name, 0) + 1
                self.start(name)
            return
        resident, limit = self.high_water_mb(process.pid), self.memory_mb[name.split("-")[0]]
        self.peak_between[name] = max(self.peak_between.get(name, 0), resident)
        if resident > limit:
            process.kill()
            process.wait()
            self.over_limit[name] = self.over_limit.get(name, 0) + 1
            self.record(f"platform: {name} uses {resident:.0f} MB of {limit}: killed")

    def check_platform(self):
        """Without the platform nothing would be started again, and the case would say nothing."""
        if not self.watcher.is_alive():
            raise CannotRun("the platform's watch has ended")

    def high_water_mb(self, pid):
        """The most resident memory that a process had, as the system counted it: no peak between two looks is missed."""
        try:
            with open(f"/proc/{pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmHWM"):
                        return int(line.split()[1]) / 1024
        except (OSError, IndexError):
            pass
        return 0

    def kill_together(self, names):
        for name in names:
            self.record(f"{name}: SIGKILL")
            self.processes[name].kill()

    def signal(self, name, number):
        self.record(f"{name}: signal {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def resident_mb(self, name):
        return round(self.high_water_mb(self.processes[name].pid))

    def ended(self):
        return {name: process.returncode for name, process in self.processes.items() if process.poll() is not None}

    def log_lines(self, name, event):
        try:
            with open(self.folder / (name + ".log"), encoding="utf-8", errors="replace") as log:
                return [line.rstrip() for line in log if f'"event":"{event}"' in line]
        except OSError:
            return []

    def end_all(self):
        if self.watching:
            self.watching = False
            self.watcher.join()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(host, port, method, path, headers=None, body=None, timeout=4.0):
    """(status, body); status 0 means no answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def configuration(version=7, cap=0, routes=()):
    common = {"Host": HOST, "Service": "llm"}
    return {"Version": version, "Routes": [
        {"Name": "online", "PathPrefix": "/online/", "RouteType": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 300,
         "Priority": 0, "MaxAttempts": 2, "SessionAffinity": True, "Resumable": True, "GapAimMs": 200, **common},
        {"Name": "batch", "PathPrefix": "/batch/", "RouteType": "batch", "TimeoutMs": 15000, "TargetLatencyMs": 500,
         "Priority": 2, "MaxAttempts": 3, "ResultDeadlineMs": 18000, "MaxWaitS": 300, "Cap": cap, "Resumable": True,
         "SessionAffinity": True, **common}, *routes],
        "Services": [{"Name": "llm", "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": False,
                      "Engine": {"Slots": 8, "KvCapacityTokens": 115224, "Models": [{"Name": "m"}]}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def new_id():
    return f"{random.SystemRandom().getrandbits(64):016x}"


def leave(code):
    """Ends the script at once, whatever the stand-ins' loop still does."""
    os._exit(code)

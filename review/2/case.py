"""ROUTE: the address of a replica that is gone goes to another service, whose replica then runs the route's work."""
import asyncio
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import BATCH, HOST, SERVICE, STREAM, TROUBLE, Deployment, Replica, call, play  # noqa: E402

OTHER_SERVICE = "huvo99z"
OTHER_ROUTE = {**STREAM, "Name": "r-other", "PathPrefix": "/other/", "Service": OTHER_SERVICE}
REPLICAS = 8  # Seven of the route's service, one of the other. One of seven crashes: a share of 0.14.
REUSE_S = 2.3  # ReuseAfterS is 2.
LIST_LAG_S = 0.5  # MaxLagMs is 800.
LISTED_S = 4.0  # "A replica that has crashed remains on the list for some seconds."
OBSERVED_S = 9.0
CLIENTS = 6


class CrashingReplica(Replica):
    """A replica whose process can end: it listens no more and its connections are reset."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.service = SERVICE
        self.writers = set()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().connection(reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def listed(self):
        return {**super().listed(), "Service": self.service}


class TwoServices(Deployment):
    """The last replica, and the gate beside it, are of the other service; so is the first after the reuse."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.of_other_service = {f"side-a-{REPLICAS}"}

    def reuse_first_address(self):
        """The settings of the machine beside the replica name its new service, and its process is told so."""
        self.of_other_service.add("side-a-1")
        self.settings("side-a-1")
        self.processes["side-a-1"].send_signal(signal.SIGHUP)

    def settings(self, name):
        path = super().settings(name)
        if name in self.of_other_service:
            file = pathlib.Path(path)
            file.write_text(file.read_text(encoding="utf-8").replace(f"Service={SERVICE}", f"Service={OTHER_SERVICE}"),
                            encoding="utf-8")
        return path

    def configuration(self, routes, version):
        document = json.loads(super().configuration(routes, version))
        document["Services"].append({**document["Services"][0], "Name": OTHER_SERVICE})
        return json.dumps(document)


async def client(deployment, record, number, paths, stopped):
    """Sends requests to one route, one after the other, each with an id and a connection of its own."""
    host = deployment.entries()[number % len(deployment.entries())]
    turn = 0
    while not stopped.is_set():
        turn += 1
        request = f"{random.randrange(1 << 64):016x}"
        path = f"{STREAM['PathPrefix'] if number else OTHER_ROUTE['PathPrefix']}{number}-{turn}"
        paths[request] = path
        fields = {"Request-Id": request, "Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{request}:20",
                  "Deadline-Ms": "5000"}
        try:
            status, answer, _ = await asyncio.wait_for(call(host, deployment.front, "POST", path, fields, "x"), 6)
            record(f"client {request} {path}: {status} from {answer.get('instance-id', 'the system')}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client {request} {path}: {error!r}")
        await asyncio.sleep(0.05)


async def submit(deployment, record, paths):
    """One batch of forty items."""
    batch = f"{random.randrange(1 << 64):016x}"
    items = []
    for number in range(40):
        item = f"{random.randrange(1 << 64):016x}"
        paths[item] = f"{BATCH['PathPrefix']}3/{number}"
        items.append({"Id": item, "Path": paths[item], "Body": "q83vEjRWeJA=", "Tokens": 40,
                      "Headers": {"Model": "m", "Token-Usage": "20,20", "Prompt-Prefix": f"{item}:20"}})
    status, _, _ = await call(deployment.entries()[0], deployment.front, "POST", BATCH["PathPrefix"] + batch,
                              {"Request-Id": batch, "Content-Type": "application/json"}, json.dumps({"Items": items}))
    record(f"batch {batch}: {status}")


async def case(record):
    deployment = TwoServices(record, replicas=REPLICAS, make=CrashingReplica)
    deployment.replicas[-1].service = OTHER_SERVICE
    paths = {}
    stopped = asyncio.Event()
    clients = []
    try:
        await deployment.begin()
        await deployment.configure([STREAM, BATCH, OTHER_ROUTE])
        await deployment.ready_all()
        await asyncio.sleep(3)
        clients = [asyncio.create_task(client(deployment, record, number, paths, stopped)) for number in range(CLIENTS)]
        await asyncio.sleep(1)
        victim = deployment.replicas[0]
        crashed = time.monotonic()
        successor = None
        if TROUBLE:
            victim.crash()
            record(f"{victim.name} of {SERVICE} at {victim.address[0]} crashed for good")
        await asyncio.sleep(REUSE_S)
        if TROUBLE:
            successor = CrashingReplica(f"i-{random.randrange(1 << 32):08x}", victim.address, record)
            successor.service = OTHER_SERVICE
            await successor.listen()
            deployment.reuse_first_address()
            record(f"{successor.name} of {OTHER_SERVICE} starts at {successor.address[0]}")
        await submit(deployment, record, paths)
        await asyncio.sleep(LIST_LAG_S)
        if successor is not None:
            deployment.listed = [*deployment.replicas, successor]
            record(f"the list names {successor.name}")
        await asyncio.sleep(max(0.0, crashed + LISTED_S - time.monotonic()))
        if successor is not None:
            deployment.listed = [*deployment.replicas[1:], successor]
            record(f"the list no longer names {victim.name}")
        await asyncio.sleep(max(0.0, crashed + OBSERVED_S - time.monotonic()))
        stopped.set()
        await asyncio.gather(*clients)
        others = [replica for replica in [*deployment.replicas, successor] if replica is not None]
        breaks = []
        for replica in others:
            wrong = [request for request, _ in replica.runs
                     if paths[request].startswith(OTHER_ROUTE["PathPrefix"]) != (replica.service == OTHER_SERVICE)]
            if wrong:
                breaks.append(f"ROUTE: {replica.name} of {replica.service} ran {len(wrong)} requests and items of routes "
                              f"that lead to another service: {' '.join(wrong[:5])} ...")
        return breaks
    finally:
        for task in clients:
            task.cancel()
        deployment.end()


play(pathlib.Path(__file__).parent, case)

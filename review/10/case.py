"""A store that led before leads again, and leases items from what it knew when it last led."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import smallfleet  # noqa: E402  pylint: disable=wrong-import-position

GATES, FREEZE_S, CATCH_UP_S, ROUNDS_S = 18, 1.6, 4.8, 90
# The site's burst of batch jobs: 6 times the sheet's 1.03 a second for 3 s, "batch jobs of about 10".
JOBS, JOB_ITEMS, BURST_S = 18, 10, 3.0


async def scenario(folder, trouble):
    fleet = smallfleet.SmallFleet(folder, replicas=GATES, events=10, event_s=0.1, slots=2)
    sent = {}

    def changed():
        """Runs that reached a replica with another body or other headers than the client's."""
        return [run for replica in fleet.replicas for run in replica.seen if run.request not in sent
                or run.body != sent[run.request].body
                or any(run.headers.get(name.lower()) != value for name, value in sent[run.request].headers.items())]

    async def burst():
        """Jobs at an even pace; ends once all are accepted."""
        begun = time.monotonic()
        for number in range(JOBS):
            await asyncio.sleep(max(0.0, begun + number * BURST_S / JOBS - time.monotonic()))
            batch, items = fleet.new_batch(JOB_ITEMS)
            sent.update({item.id: item for item in items})
            await fleet.accept(batch, items)

    try:
        if not await fleet.start(smallfleet.configuration(1)):
            raise RuntimeError("the fleet did not start")
        end = time.monotonic() + ROUNDS_S
        rounds = 0
        while time.monotonic() < end and not changed():
            rounds += 1
            await burst()
            leader = f"store-{fleet.job_leader()}"
            if trouble:
                fleet.signal(leader, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            if trouble:
                fleet.signal(leader, signal.SIGCONT)
            await asyncio.sleep(CATCH_UP_S - BURST_S)
            await burst()
            if trouble:
                await fleet.restart(f"store-{fleet.job_leader()}")
            await asyncio.sleep(CATCH_UP_S - BURST_S)
        wrong = changed()
        for run in wrong:
            fleet.record.note(f"changed: {run.replica} ran {run.request} {run.path} with Model {run.headers.get('model')}, body {run.body!r}; "
                              f"the client sent Model m, body {sent[run.request].body!r}")
        fleet.record.note(f"{rounds} rounds, {sum(len(replica.seen) for replica in fleet.replicas)} runs, {len(wrong)} changed")
        return f"UNASKED: {len(wrong)} items reached replicas without the client's body and headers, after {rounds} rounds" if wrong else None
    finally:
        fleet.stop()


smallfleet.run(HERE, scenario)

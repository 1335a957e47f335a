"""All machines with a disk lose power while batch jobs are being submitted; the refused ones run afterwards."""
import asyncio
import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet  # noqa: E402

BROKEN = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)
JOBS = 6
ITEMS, ITEM_BYTES = 20, 4000  # Of a batch job: 80 KB; the sheets go to 290 KB.
DOWN_S = 3.5
RECOVER_S = 12  # RecoverS.
ROUNDS = 4
DEADLINE_S = 4.0  # Of the sheet, for a submission.
RETRIES = 1  # Of the sheet.
PROMISES = (429, 503, 408, 421)


def job_body(job):
    return json.dumps({"Items": [
        {"Id": f"{job}-{i}", "Path": f"/pule252/{job}/{i}", "Headers": {"Model": "m", "Token-Usage": "100,20"},
         "Body": base64.b64encode(bytes(ITEM_BYTES)).decode(), "Tokens": 120} for i in range(ITEMS)]})


def lose_power(deployment):
    """Right after work was accepted: at the first 202."""
    if fleet.TROUBLE and all(process.poll() is None for process in deployment.processes.values()):
        deployment.kill(deployment.with_disk)


async def submit(deployment, record, job, nodes, accepted=lambda deployment: None):
    """Submits as PROTOCOL.md says: again at another node after a refusal, after Retry-After, within the deadline."""
    until = time.monotonic() + DEADLINE_S
    answers = []
    for attempt in range(RETRIES + 1):
        host = nodes[attempt % len(nodes)]
        left = until - time.monotonic()
        wait = 0.1
        record(f"client submits {job} at {host}, attempt {attempt + 1}")
        try:
            status, fields, _ = await asyncio.wait_for(fleet.call(
                host, deployment.front, "POST", f"/pule252/{job}",
                {"Request-Id": job, "Content-Type": "application/json", "Deadline-Ms": str(int(left * 1000))},
                job_body(job)), left)
            if status == 202:
                accepted(deployment)
            wait = min(float(fields.get("retry-after", wait)), left / 3)
        except BROKEN as error:
            status = repr(error)
        answers.append(status)
        record(f"client got {status} for {job}")
        if status == 202 or time.monotonic() + wait > until:
            break
        await asyncio.sleep(wait)
    return answers


async def case(record):
    deployment = fleet.Deployment(record, replicas=3, entries=3, diskless=2)
    try:
        await deployment.begin()
        await deployment.configure([fleet.STREAM, fleet.BATCH])
        await deployment.ready_all()
        nodes = deployment.entries()[3:]
        # Batch jobs are taken from the moment on at which the job group has a leader.
        for number in range(40):
            first = await submit(deployment, record, f"warm{number:04d}", nodes)
            if first[-1] == 202:
                break
            await asyncio.sleep(0.5)
        else:
            raise fleet.CannotRun("no batch job was accepted")
        await asyncio.sleep(1)
        answers = {}
        for turn in range(ROUNDS):
            jobs = [f"job{turn}{number:04d}" for number in range(JOBS)]
            tasks = []
            for number, job in enumerate(jobs):
                order = nodes if number % 2 == 0 else nodes[::-1]
                tasks.append(asyncio.create_task(submit(deployment, record, job, order, lose_power)))
            if fleet.TROUBLE:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                await asyncio.sleep(DOWN_S)
                for name in deployment.with_disk:
                    deployment.start(name)
            answers |= dict(zip(jobs, await asyncio.gather(*tasks)))
            await asyncio.sleep(RECOVER_S)
        ran = {request.rsplit("-", 1)[0] for replica in deployment.replicas for request, _ in replica.runs}
        breaks = []
        for job, got in answers.items():
            record(f"{job}: answers {got}, {'ran' if job in ran else 'did not run'}")
            if all(status in PROMISES for status in got) and job in ran:
                breaks.append(f"REFUSED: items of {job} ran, though it was answered {got} at every attempt")
        return breaks
    finally:
        deployment.end()


fleet.play(pathlib.Path(__file__).parent, case)

"""See claim.txt."""
import base64
import json
import os
import pathlib
import shutil
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as f  # noqa: E402

STATUS_S = 5  # Bounds.StatusS; the sites have 120, which only makes the script longer.
ITEMS, ITEM_BYTES, TOKENS = 10, 150_000, 690  # A job is 2 MB of JSON; MaxBodyBytes is 4,194,304.
CAP = 2_600_000
FORGOTTEN_BY_S = 95
BETWEEN_S = 10  # From the first loss to the second one; CatchUpS is 4.7, a store starts again after half a second.
END_S = 117


def submit(fleet, record, number):
    job = f.new_id()
    data = base64.b64encode(os.urandom(ITEM_BYTES)).decode()
    headers = {"Model": "m", "Token-Usage": "450,240", "Prompt-Prefix": "9c2e41:100"}
    body = json.dumps({"Items": [{"Id": f"{job}-{i}", "Path": f"/batch/{job}/{i}", "Headers": headers, "Body": data,
                                  "Tokens": TOKENS} for i in range(ITEMS)]})
    for entry in range(number, number + 3):
        status, _ = f.call(*fleet.front(entry % 3), "POST", f"/batch/{job}", {"Host": f.HOST, "Request-Id": job,
                           "Content-Type": "application/json"}, body, timeout=6)
        record(f"job {job} at entry-{entry % 3}: {len(body)} bytes, answered {status}")
        if status == 202:
            return job
        time.sleep(0.8)
    raise f.CannotRun("a job was not accepted")


def read(fleet, job, number):
    status, body = f.call(*fleet.front(number % 3), "GET", f"/lots/{job}?After=0", {"Host": f.HOST}, timeout=3)
    return status, json.loads(body) if status == 200 else None


def wait_until(record, until, test):
    while record.now() < until:
        if test():
            return True
        time.sleep(0.2)
    return False


def lose_disk(fleet, record, name):
    """The process ends, and starts again with an empty disk (by the platform, half a second later)."""
    record(f"{name}: SIGKILL, its disk is lost")
    process = fleet.processes[name]
    process.kill()
    process.wait()
    shutil.rmtree(fleet.folder / f"data-{name}")


def has_all(page):
    return page is not None and len(page["Results"]) == ITEMS


def main():
    record = f.Record(HERE)
    fleet = f.Fleet(record, engines=3, events=20, event_s=0.02)
    fleet.bounds["StatusS"] = STATUS_S
    try:
        fleet.start_all(f.configuration(cap=CAP))
        fleet.watch_memory()
        jobs = [submit(fleet, record, number) for number in range(4)]
        if not wait_until(record, 20, lambda: all(has_all(read(fleet, job, 0)[1]) for job in jobs)):
            raise f.CannotRun("the first jobs were not finished")
        record("all items of the first jobs are listed; quiet until they are kept no longer")
        if not wait_until(record, FORGOTTEN_BY_S, lambda: all(read(fleet, job, 1)[0] == 404 for job in jobs)):
            raise f.CannotRun("the first jobs are still kept")
        record(f"{record.now() - 4:.0f} s after they were accepted, none of them is kept (StatusS is {STATUS_S})")
        stores = [name for name in fleet.names() if name.startswith("store")]
        leaders = [name for name in stores if any(json.loads(line)["leads"] for line in fleet.log_lines(name, "group_leader")[-1:])]
        order = sorted(stores, key=lambda name: (name in leaders, name))
        lost = record.now()
        if f.TROUBLE:
            lose_disk(fleet, record, order[0])
        wait_until(record, lost + BETWEEN_S - 2, lambda: False)
        job = submit(fleet, record, 0)
        wait_until(record, lost + BETWEEN_S, lambda: False)
        record(f"starts again until now: {fleet.restarts}")
        if f.TROUBLE:
            lose_disk(fleet, record, order[1])
        answers = {}

        def complete():
            status, page = read(fleet, job, len(answers))
            answers[status] = answers.get(status, 0) + 1
            return has_all(page)
        done = wait_until(record, END_S - 2, complete)
        record(f"the last job is {'listed whole' if done else 'not listed'}; answers to its reads {answers}; starts again: {fleet.restarts}; "
               f"killed for memory: {fleet.over_limit}")
        for name in stores:
            for line in (fleet.folder / (name + ".log")).read_text(errors="replace").splitlines()[-1:]:
                record(f"{name}, last line: {line[:300]}")
        fleet.check_platform()
        return 0 if done else 1
    except f.CannotRun as reason:
        record(f"can't run: {reason}")
        return 2
    finally:
        fleet.end_all()


f.leave(main())

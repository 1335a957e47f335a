"""See claim.txt."""
import base64
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as f  # noqa: E402

JOBS, ITEMS, ITEM_BYTES, TOKENS = 13, 10, 312_000, 715  # A job is 4.16 MB of JSON; MaxBodyBytes is 4,194,304.
CAP = 3_100_000  # Tokens that may wait, as on the sheet; these jobs are 92,950.
GAP_S = 1 / (1.03 * 6)  # The sheet's 1.03 jobs a second, times 6: the site's burst, 13 jobs, where the burst allows 18.
MEMORY_MB = {"entry": 110, "store": 130, "gate": 192}  # As on the sheet.
RECOVER_S = 12
READ_S = 30  # After the kill.


def submit(fleet, record, number):
    job = f.new_id()
    data = base64.b64encode(os.urandom(ITEM_BYTES)).decode()
    headers = {"Model": "m", "Token-Usage": "450,265", "Prompt-Prefix": "9c2e41:100"}
    body = json.dumps({"Items": [{"Id": f"{job}-{i}", "Path": f"/batch/{job}/{i}", "Headers": headers, "Body": data,
                                  "Tokens": TOKENS} for i in range(ITEMS)]})
    for entry in range(number, number + 3):
        status, _ = f.call(*fleet.front(entry % 3), "POST", f"/batch/{job}", {"Host": f.HOST, "Request-Id": job,
                           "Content-Type": "application/json"}, body, timeout=6)
        record(f"job {job} at entry-{entry % 3}: {len(body)} bytes, answered {status}")
        if status == 202:
            return job
        time.sleep(0.8)
    return None


def main():
    record = f.Record(HERE)
    fleet = f.Fleet(record, engines=2, events=40, event_s=0.2)
    fleet.memory_mb = MEMORY_MB
    try:
        fleet.start_all(f.configuration(cap=CAP))
        fleet.watch_memory()
        jobs = []
        for number in range(JOBS):
            job = submit(fleet, record, number)
            if job is not None:
                jobs.append(job)
            time.sleep(GAP_S)
        record(f"{len(jobs)} of {JOBS} jobs accepted")
        time.sleep(1)
        stores = [name for name in fleet.names() if name.startswith("store")]
        record("peaks in MB until now: " + str({name: round(peak) for name, peak in fleet.peak_between.items()}))
        if len(jobs) < JOBS or fleet.over_limit:
            record("not judged: a job was not accepted, or a process was over its limit before the disruption")
            return 2
        if f.TROUBLE:
            fleet.kill_together(stores)
        killed, answers, read = record.now(), {}, set()
        number = 0
        while record.now() - killed < READ_S and len(read) < len(jobs):
            for job in jobs:
                if job in read:
                    continue
                status, body = f.call(*fleet.front(number % 3), "GET", f"/lots/{job}?After=0", {"Host": f.HOST}, timeout=3)
                number += 1
                answers[status] = answers.get(status, 0) + 1
                if status == 200 and json.loads(body)["Total"] == ITEMS:
                    read.add(job)
            time.sleep(0.5)
            if number % 10 == 0:
                record(f"{record.now() - killed:.1f} s after: {len(read)} of {len(jobs)} jobs read; answers {answers}; over the limit {fleet.over_limit}")
        record(f"{len(read)} of {len(jobs)} accepted jobs could be read in {record.now() - killed:.1f} s; answers {answers}")
        record(f"killed by the platform for memory: {fleet.over_limit}; starts again: {fleet.restarts}; peaks in MB: "
               + str({name: round(peak) for name, peak in fleet.peak_between.items()}))
        fleet.check_platform()
        return 1 if len(read) < len(jobs) else 0
    except f.CannotRun as reason:
        record(f"can't run: {reason}")
        return 2
    finally:
        fleet.end_all()


f.leave(main())

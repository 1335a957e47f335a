"""An entry that stood still accepts a batch by a limit that is no longer in force."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib-3"))
import smallfleet  # noqa: E402  pylint: disable=wrong-import-position

CAP, QUOTA_OVER, APPLY_S, ITEMS = 1000, 0.1, 2.0, 50


async def scenario(folder, trouble):
    fleet = smallfleet.SmallFleet(folder, replicas=2, events=200, event_s=0.1)
    try:
        if not await fleet.start(smallfleet.configuration(1)):
            raise RuntimeError("the fleet did not start")
        if trouble:
            fleet.signal("entry-2", signal.SIGSTOP)
        await asyncio.sleep(3)
        if not await fleet.until(lambda: fleet.replace(fleet.entries[0], smallfleet.configuration(2, cap=CAP)), 5):
            raise RuntimeError("the lower limit was not acknowledged")
        await asyncio.sleep(APPLY_S + 0.1)
        batch, items = fleet.new_batch(ITEMS)
        submission = asyncio.create_task(fleet.submit(fleet.entries[2], batch, items))
        await asyncio.sleep(0.2)
        if trouble:
            fleet.signal("entry-2", signal.SIGCONT)
        status = await submission
        finished = 0  # A run takes 20 s.
        waiting = sum(item.tokens for item in items[finished:])
        fleet.record.note(f"answer {status}; {waiting} tokens wait after a 202, Cap {CAP}")
        return (f"QUOTA: a 202 with {waiting} tokens waiting, Cap {CAP} is in force" if status == 202 and waiting > CAP * (1 + QUOTA_OVER)
                else None)
    finally:
        fleet.stop()


smallfleet.run(HERE, scenario)

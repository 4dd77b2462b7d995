"""A queue moves to another service, and later the owner of the cell is restarted.

Both are planned work. Nothing else happens: no process is killed, no path is cut.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))

from stand import CannotRun, double_runs, main, new_fleet  # noqa: E402

TASK_MS = 20000
# One way between two zones, by the pages. The processes and `desk` are in one zone, `coder` in
# another one.
WAY_S = 0.0014


def job(tasks):
    step = {"count": tasks, "cpu": 1000, "mem_mb": 100, "est_ms": TASK_MS}
    return {"spec": f"ms={TASK_MS}", "phases": [step]}


async def case(trouble):
    fleet = await new_fleet(FOLDER, 3)
    services = ["coder", "desk"]
    fleet.configure(3, {"quick": "coder", "misc": "desk"}, services, ["alpha"])
    coders = []
    for n in range(8):
        coders.append(await fleet.add_executor(f"coder-{n}", "coder", way_s=WAY_S, zone="south"))
    for n in range(8):
        await fleet.add_executor(f"desk-{n}", "desk")
    for process in range(3):
        fleet.start_process(process)
    owner = await fleet.wait_owner()
    await asyncio.sleep(1)
    accepted = await fleet.submit("misc", "00000000000000b1", "alpha", job(8))
    accepted = accepted and await fleet.submit("quick", "00000000000000a1", "alpha", job(16))
    await asyncio.sleep(1.5)
    if not accepted or sum(len(executor.runs) for executor in coders) != 16:
        raise CannotRun("the tasks have not started")
    # The operator lets another service run the queue. Its tasks at work go on.
    fleet.configure(5, {"quick": "desk", "misc": "desk"}, services, ["alpha"])
    await asyncio.sleep(5)
    if trouble:
        fleet.kill(owner, signal.SIGTERM)
        await fleet.wait_owner(other_than=owner)
    await asyncio.sleep(6)
    found = double_runs(fleet)
    for task, kind, first, second in found:
        places = f"{first[2].name} ({first[3].attempt}) and {second[2].name} ({second[3].attempt})"
        fleet.record.write(f"TWICE: {task} {kind}, on {places}")
    return fleet, bool(found)


main(FOLDER, case)

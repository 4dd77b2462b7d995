"""A client hands in a schedule whose first occurrences are due already.

Without the disruption it hands in the same schedule, due from now on.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand"))

from stand import main, new_fleet, now  # noqa: E402

REPEATS = 20000
PERIOD_MS = 1000
# How long after the end of the traffic jobs are asked for, by the pages.
FINISH_S = 14
# For how long a job may have nothing running then.
IDLE_S = 3


def step(tasks, task_ms, **more):
    return {"count": tasks, "cpu": 500, "mem_mb": 100, "est_ms": task_ms, **more}


async def case(trouble):
    fleet = await new_fleet(FOLDER, 3)
    fleet.configure(3, {"quick": "coder"}, ["coder"], ["alpha", "beta"])
    for n in range(8):
        await fleet.add_executor(f"coder-{n}", "coder")
    for process in range(3):
        fleet.start_process(process)
    await fleet.wait_owner()
    await asyncio.sleep(1)
    # Two jobs of one tenant: the second step of the first one becomes due later, the other one
    # comes after the schedule.
    first, second = "00000000000000a1", "00000000000000a2"
    accepted = {}
    chain = {"spec": "ms=3000", "phases": [step(4, 3000), step(4, 3000, after=[0])]}
    accepted[first] = await fleet.submit("quick", first, "alpha", chain)
    schedule = {
        "spec": "ms=100",
        "phases": [step(1, 100)],
        "repeats": REPEATS,
        "period_ms": PERIOD_MS,
        "first_ms": int(time.time() * 1000) - (REPEATS * PERIOD_MS if trouble else 0),
    }
    await fleet.submit("quick", "00000000000000ff", "beta", schedule)
    await asyncio.sleep(1)
    plain = {"spec": "ms=1000", "phases": [step(4, 1000)]}
    accepted[second] = await fleet.submit("quick", second, "alpha", plain, seconds=20)
    await asyncio.sleep(FINISH_S)
    # From here on nobody sends jobs. The executors have room for both jobs many times over.
    begin, running_at, most_used = now(), {job: None for job in accepted}, 0
    while now() - begin < IDLE_S:
        runs = [run for executor in fleet.executors for run in executor.running]
        most_used = max(most_used, len(runs))
        for run in runs:
            if run.task[:16] in running_at:
                running_at[run.task[:16]] = now()
        await asyncio.sleep(0.02)
    broken = False
    for job, was_accepted in accepted.items():
        done = {run.task for e in fleet.executors for run in e.runs if run.how == "done"}
        done = len([task for task in done if task.startswith(job)])
        tasks = 8 if job == first else 4
        states = []
        for process in range(3):
            status, reply = await fleet.call(process, "GET", f"/quick/{job}", "alpha")
            states.append(f"{status} {reply}")
        lost = was_accepted and done < tasks and running_at[job] is None
        broken |= lost
        fleet.record.write(
            f"job {job}: accepted={was_accepted} tasks={tasks} done={done} "
            f"ran in the last {IDLE_S} s={running_at[job] is not None} states={states}"
        )
    fleet.record.write(f"at most {most_used} runs at work then, on 8 executors with room for 64")
    return fleet, broken


main(FOLDER, case)

"""One lasting job whose tasks fail keeps all other jobs of the service from starting."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import run_case

NODES = ["edge-1", "edge-2", "edge-3"]
RUNNERS = 8
CORES = 16
# Jobs of the lasting class; one in 20 (0.05) can't be done.
LASTING_JOBS = 20
BAD_JOB = LASTING_JOBS - 1
BAD_TASKS = 6
BAD_RUN_MS = 1_000
BATCH_JOBS = 12
FINISH_S = 14
STUCK_S = 3


def lasting_id(number):
    return f"{0xA000 + number:016x}"


def batch_id(number):
    return f"{0xB000 + number:016x}"


async def body(case):
    await case.start_store()
    await case.put_manifest()
    for number in range(RUNNERS):
        labels = ["a", f"r1-{number // 4}"]
        await case.start_runner(f"r{number}", cpu=CORES * 1000, labels=labels)
    for name in NODES:
        await case.start_daemon(name)
    await case.wait_ready(NODES)
    await case.wait_owner()
    await asyncio.sleep(2.0)

    for number in range(LASTING_JOBS):
        is_bad = number == BAD_JOB and case.trouble
        spec = f'{{"runMs": {BAD_RUN_MS}, "end": "failed"}}' if is_bad else '{"end": "lasts"}'
        count = BAD_TASKS if number == BAD_JOB else 1
        phase = {"count": count, "cpu": 1000, "memMb": 256, "estimateMs": 500,
                 "longRunning": True}
        if not await case.submit(NODES, lasting_id(number), {"spec": spec, "phases": [phase]}):
            raise RuntimeError("a lasting job was not accepted")
        await asyncio.sleep(0.1)
    await asyncio.sleep(20)
    for number in range(BATCH_JOBS):
        phase = {"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 500}
        job = {"spec": '{"runMs": 500}', "phases": [phase]}
        if not await case.submit(NODES, batch_id(number), job):
            raise RuntimeError("a batch job was not accepted")
        await asyncio.sleep(0.1)
    case.note("end of the traffic")

    # The rule is looked at `finish_s` after the end of the traffic, for 3 s.
    await asyncio.sleep(FINISH_S)
    looked_at = time.monotonic()
    await asyncio.sleep(STUCK_S)
    starts = [it for it in case.events if it["event"] == "start"]
    stuck = []
    for number in range(BATCH_JOBS):
        job = batch_id(number)
        state = await case.state(NODES, job)
        begun = [it for it in starts if it["task"].startswith(job)]
        if state != "completed" and not begun:
            stuck.append(job)
    most_used = {}
    for it in starts:
        if it["at"] >= looked_at:
            most_used[it["name"]] = max(most_used.get(it["name"], 0), it["cpuUsed"])
    case.note(f"batch jobs that nothing was ever started of: {len(stuck)} of {BATCH_JOBS}")
    running = sum(1 for it in starts if it["task"].startswith(lasting_id(0)[:13]))
    case.note(f"starts of lasting tasks: {running}; most cores in use on a runner at a start since "
              f"then, in thousandths: {most_used}, of {CORES * 1000} each; by what was asked for, "
              f"{LASTING_JOBS - 1 + BAD_TASKS} of {RUNNERS * CORES} cores could be in use at most")
    return not stuck


run_case(os.path.dirname(os.path.abspath(__file__)), body)

"""A batch job whose tasks fill beside tasks that serve, on all workers of a service.

With TROUBLE=0 the serving job is not handed in.
"""
import asyncio
import os
import random
import sys
import time

from standins import CAPACITY, Deployment, Record, call

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES_IN_USE = 3
MACHINES_IN_STANDBY = 3
SERVING_TASKS = MACHINES_IN_USE + MACHINES_IN_STANDBY
SERVING_CPU = 4000
FILL_MS = 1_000
FINISH_S = 14.0
WATCH_S = 16.0
IDLE_S = 3.0


async def hand_in(deployment, record, job, body, entry):
    status, _ = await call(deployment.entries[entry].front, "POST", f"/q/{job}", body)
    record.write("submitted", job=job, status=status, body=body)
    return status == 200


async def main():
    record = Record(sys.argv[1])
    serving = "%016x" % random.Random(4).getrandbits(64)
    filling = "%016x" % random.Random(5).getrandbits(64)
    # The serving tasks last; those that fill end done after a second.
    deployment = Deployment(
        record, run_ms=lambda task: None if task.startswith(serving) else FILL_MS, worker_count=MACHINES_IN_USE, standby_count=MACHINES_IN_STANDBY
    )
    try:
        if not await deployment.start():
            print("the entries did not become ready")
            return 2
        if TROUBLE:
            step = {"count": SERVING_TASKS, "cpu": SERVING_CPU, "memMb": 8000, "antiAffinity": 1, "longRunning": True, "image": "web",
                    "targetMs": 200, "mayMiss": 1}
            if not await hand_in(deployment, record, serving, {"spec": "serve", "steps": [step]}, 0):
                return 2
            end = time.monotonic() + 20
            while time.monotonic() < end and sum(len(worker.runs) for worker in deployment.workers.values()) < SERVING_TASKS:
                await asyncio.sleep(0.1)
            at_work = sum(len(worker.runs) for worker in deployment.workers.values())
            record.write("serving", tasks=at_work, workers=len(deployment.workers))
            if at_work < SERVING_TASKS:
                print(f"only {at_work} of {SERVING_TASKS} serving tasks were started")
                return 2
        step = {"count": 2, "cpu": 2000, "memMb": 4000, "estimateMs": FILL_MS, "image": "batch", "fills": True}
        if not await hand_in(deployment, record, filling, {"spec": "fill", "steps": [step]}, 1):
            return 2
        accepted = time.monotonic()
        await asyncio.sleep(FINISH_S)
        idle_since = time.monotonic()
        longest_s, seen = 0.0, False
        while time.monotonic() - accepted < FINISH_S + WATCH_S:
            running = [task for worker in deployment.workers.values() for task in worker.runs if task.startswith(filling)]
            in_use = SERVING_CPU * sum(len(worker.runs) for worker in deployment.workers.values()) / (CAPACITY["cpu"] * len(deployment.workers) or 1)
            if running or in_use >= 0.5:
                idle_since = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - idle_since)
            await asyncio.sleep(0.05)
        status, answer = await call(deployment.entries[0].front, "GET", f"/q/{filling}")
        is_done = status == 200 and answer["state"] == "complete"
        record.write("asked", job=filling, status=status, answer=answer, longestIdleS=round(longest_s, 1), workers=len(deployment.workers))
        is_broken = not is_done and longest_s > IDLE_S
        print(f"the job that fills is {answer} {FINISH_S + WATCH_S:.0f} s after its acceptance; nothing of it ran for {longest_s:.1f} s "
              f"at the end, with {len(deployment.workers)} workers of which {SERVING_CPU / CAPACITY['cpu']:.0%} is in use")
        return 1 if is_broken else 0
    finally:
        deployment.end()
        record.close()


sys.exit(asyncio.run(main()))

"""A scheduled job whose stored progress outgrows a row of the store, beside ordinary jobs.

With TROUBLE=0 the scheduled job has the 8 times of the small sites; otherwise it has more, each with the same small work.
"""
import asyncio
import os
import random
import sys
import time

from standins import Deployment, Record, call

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMES = 900 if TROUBLE else 8
INTERVAL_MS = 30
TRAFFIC_S = 24.0
FINISH_S = 14.0
WATCH_S = 6.0
IDLE_S = 3.0
TASK_MS = 150


async def submit(deployment, record, job_id, body, entry):
    """Hands the job in as a client does: again, at another entry, after no answer or a refusal. True once it is accepted."""
    for attempt in range(5):
        address = deployment.entries[(entry + attempt) % len(deployment.entries)].front
        status, _ = await call(address, "POST", f"/q/{job_id}", body)
        record.write("submitted", job=job_id, attempt=attempt + 1, status=status)
        if status == 200:
            return True
        await asyncio.sleep(1.0)
    return False


async def main():
    record = Record(sys.argv[1])
    deployment = Deployment(record, run_ms=lambda task: TASK_MS)
    rng = random.Random(1)
    try:
        if not await deployment.start():
            print("the entries did not become ready")
            return 2
        start = time.monotonic()
        small = {"spec": "tally", "steps": [{"count": 3, "cpu": 1000, "memMb": 500, "estimateMs": TASK_MS}]}
        scheduled = {
            "spec": "rebuild", "times": TIMES, "intervalMs": INTERVAL_MS, "startAtMs": int(time.time() * 1000) + 500,
            "steps": [{"count": 4, "cpu": 500, "memMb": 200, "estimateMs": TASK_MS},
                      {"count": 4, "cpu": 500, "memMb": 200, "estimateMs": TASK_MS, "after": [0]}],
        }
        scheduled_id = "%016x" % rng.getrandbits(64)
        if not await submit(deployment, record, scheduled_id, scheduled, 0):
            print("the scheduled job was not accepted")
            return 2
        accepted = [scheduled_id]

        async def hand_in(job_id, entry):
            if await submit(deployment, record, job_id, small, entry):
                accepted.append(job_id)

        clients = []
        while time.monotonic() - start < TRAFFIC_S:
            clients.append(asyncio.create_task(hand_in("%016x" % rng.getrandbits(64), len(clients))))
            await asyncio.sleep(0.2)
        await asyncio.gather(*clients)
        await asyncio.sleep(FINISH_S)
        # From now on accepted jobs may be asked for, and none may have had nothing running for IDLE_S while it has work to do.
        last_busy = {job: time.monotonic() for job in accepted}
        broken = {}
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            running = {task.split(".")[0] for worker in deployment.workers.values() for task in worker.runs}
            for job in accepted:
                if job in running:
                    last_busy[job] = time.monotonic()
                elif time.monotonic() - last_busy[job] > IDLE_S:
                    broken[job] = "nothing of it runs"
            await asyncio.sleep(0.05)
        lost = {}
        for number, job in enumerate(accepted):
            status, answer = await call(deployment.entries[number % 2].front, "GET", f"/q/{job}")
            record.write("asked", job=job, status=status, answer=answer)
            if status != 200:
                lost[job] = f"status {status}"
            elif answer["state"] not in ("complete", "canceled", "failed") and job in broken:
                lost[job] = f"{answer['state']}, and nothing of it has run for {IDLE_S} s on {len(deployment.workers)} idle workers"
        for job, what in lost.items():
            record.write("lost", job=job, what=what)
        record.write("result", accepted=len(accepted), lost=len(lost), storeRefusals=deployment.store.refused, largestRow=deployment.store.largest)
        print(f"{len(accepted)} jobs accepted, {len(lost)} lost; {deployment.store.refused} transactions refused for a row of up to "
              f"{deployment.store.largest} bytes")
        return 1 if lost else 0
    finally:
        deployment.end()
        record.close()


sys.exit(asyncio.run(main()))

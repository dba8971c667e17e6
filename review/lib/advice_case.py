"""Jobs of a queue with advice whose policy allows only some workers of a service: eight of forty.

The eight join after the others. With TROUBLE=0 the policy allows all workers; everything else is the same.
"""
import asyncio
import os
import random
import sys
import time

from standins import Advice, Deployment, Record, call, free_port

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_WORKERS = 32
NEW_WORKERS = 8
TASK_MS = 500
JOBS = 10
FINISH_S = 14.0
WATCH_S = 6.0
IDLE_S = 3.0


async def main():
    record = Record(sys.argv[1])
    deployment = Deployment(record, run_ms=lambda task: TASK_MS, worker_count=FIRST_WORKERS)
    allowed = set()
    advice = Advice(record, lambda worker: not TROUBLE or worker in allowed)
    deployment.advice = f"127.0.0.1:{free_port()}"
    deployment.route_fields = {"advice": Advice.FIELDS}
    rng = random.Random(5)
    try:
        await advice.server.start(*deployment.advice.split(":"))
        if not await deployment.start():
            print("the entries did not become ready")
            return 2
        await asyncio.sleep(3.0)
        for index in range(FIRST_WORKERS, FIRST_WORKERS + NEW_WORKERS):
            deployment.machines.add(f"m-{index}", "svc", "r-new")
            allowed.add((await deployment.add_worker(f"m-{index}", "r-new")).id)
        await asyncio.sleep(3.0)
        body = {"spec": "tally", "steps": [{"count": 3, "cpu": 1000, "memMb": 500, "estimateMs": TASK_MS}]}
        accepted = []
        for number in range(JOBS):
            job = "%016x" % rng.getrandbits(64)
            status, _ = await call(deployment.entries[number % 2].front, "POST", f"/q/{job}", body)
            record.write("submitted", job=job, status=status)
            if status == 200:
                accepted.append(job)
            await asyncio.sleep(0.2)
        if not accepted:
            return 2
        await asyncio.sleep(FINISH_S)
        last_busy = {job: time.monotonic() for job in accepted}
        broken = set()
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            running = {task.split(".")[0] for worker in deployment.workers.values() for task in worker.runs}
            for job in accepted:
                if job in running:
                    last_busy[job] = time.monotonic()
                elif time.monotonic() - last_busy[job] > IDLE_S:
                    broken.add(job)
            await asyncio.sleep(0.05)
        lost = []
        for number, job in enumerate(accepted):
            status, answer = await call(deployment.entries[number % 2].front, "GET", f"/q/{job}")
            record.write("asked", job=job, status=status, answer=answer)
            if status != 200 or answer["state"] in ("queued", "active") and job in broken:
                lost.append(job)
        record.write("result", accepted=len(accepted), lost=len(lost))
        print(f"{len(accepted)} jobs accepted; {len(lost)} of them have nothing running although {len(allowed)} idle workers may run them")
        return 1 if lost else 0
    finally:
        deployment.end()
        record.close()


sys.exit(asyncio.run(main()))

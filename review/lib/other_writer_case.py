"""Another writer puts one entry into the table of workers, of a service that no configuration names, for a machine in use.

With TROUBLE=0 the entry is not written.
"""
import asyncio
import os
import random
import sys
import time

from standins import Deployment, HttpServer, Record, call, free_port

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASK_MS = 9_000
JOBS = 6
WATCH_S = 30.0


def overlaps(deployment, record):
    """Tasks of which two workers that are up run a run at the same time."""
    seen = {}
    for worker in deployment.workers.values():
        for task, run in worker.runs.items():
            seen.setdefault(task, []).append((worker.id, run["run"]))
    return {task: runs for task, runs in seen.items() if len(runs) > 1}


async def main():
    record = Record(sys.argv[1])
    deployment = Deployment(record, run_ms=lambda task: TASK_MS)
    rng = random.Random(2)
    try:
        if not await deployment.start():
            print("the entries did not become ready")
            return 2
        body = {"spec": "rebuild", "steps": [{"count": 4, "cpu": 4000, "memMb": 4000, "estimateMs": TASK_MS}]}
        accepted = []
        for number in range(JOBS):
            job = "%016x" % rng.getrandbits(64)
            status, _ = await call(deployment.entries[number % 2].front, "POST", f"/q/{job}", body)
            record.write("submitted", job=job, status=status)
            if status == 200:
                accepted.append(job)
        await asyncio.sleep(3.0)
        busy = max(deployment.workers.values(), key=lambda worker: len(worker.runs))
        record.write("busiest", worker=busy.id, machine=busy.machine, runs=len(busy.runs))
        if not accepted or not busy.runs:
            print("no job was accepted, or nothing runs")
            return 2
        agent_addr = f"127.0.0.1:{free_port()}"

        async def refuse(*_):
            return 404, {}

        agent = HttpServer(refuse)
        await agent.start(*agent_addr.split(":"))
        if TROUBLE:
            entry = {
                "service": "node-agent", "addr": agent_addr, "zone": "zone-a", "version": "7", "slots": 1, "state": "ready", "coldLeftMs": 0,
                "seq": 1, "machine": busy.machine, "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0}, "labels": ["a", busy.rack],
                "clockMs": 5, "born": int(time.time() * 1000),
            }
            await deployment.store.put("servers", "agent-1", entry)
            record.write("entry_of_other_writer", key="agent-1", entry=entry)
        broken = {}
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            for task, runs in overlaps(deployment, record).items():
                if task not in broken:
                    record.write("twice", task=task, runs=runs)
                broken[task] = runs
            await asyncio.sleep(0.01)
        for job in accepted:
            record.write("asked", job=job, answer=await call(deployment.entries[0].front, "GET", f"/q/{job}"))
        record.write("result", accepted=len(accepted), tasksRunTwiceAtOnce=len(broken))
        print(f"{len(accepted)} jobs accepted; {len(broken)} tasks had two runs at the same time on workers that were up")
        return 1 if broken else 0
    finally:
        deployment.end()
        record.close()


sys.exit(asyncio.run(main()))

"""Upstreams leave in turn, as in a rolling replacement, while one VM gets most of the requests.

Rule DRAIN: no request reaches an upstream later than `Drain` after the store has accepted that the
upstream is draining.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import DRAIN_S, Upstream, main, route, service  # noqa: E402

VMS = ["edge-sierra-a-1", "edge-sierra-b-1", "edge-sierra-c-1", "edge-sierra-a-2"]
STAYS_S = 3.0  # how long an upstream serves on after `Drain`; the pages: "at times many seconds"
BATCH = 8  # requests that a VM with little traffic gets at once
BATCHES_S = [2.2, 3.5, 4.92]  # when the VMs with little traffic get them, after the report
SERVERS = 6
REPLACED = 3  # a share of 0.5; the site's largest release is 0.557


async def consume(deployment, vm, pause_s, stop, answers):
    """The consumers at one VM send steadily."""
    tasks = []
    while not stop.is_set():
        tasks.append(asyncio.create_task(deployment.send(vm, "POST", "/book/1")))
        await asyncio.sleep(pause_s)
    answers += await asyncio.gather(*tasks)


async def batch(deployment, vm, after_s, answers):
    """The consumers at another VM send a few requests at once, and nothing before."""
    await asyncio.sleep(after_s)
    answers += await asyncio.gather(
        *[deployment.send(vm, "POST", "/book/1") for _ in range(BATCH)])


async def busiest_reader(deployment):
    """Returns the VM that reads the servers' topic for the others."""
    topic = "keyed.servers"
    before = dict(deployment.store.reads)
    await asyncio.sleep(4.0)
    return max(VMS, key=lambda vm: deployment.store.reads.get((vm, topic), 0)
               - before.get((vm, topic), 0))


async def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    await deployment.configure([service("reservas")],
                               [route("book", "/book/", "reservas", kind="unsafe")])
    for number in range(SERVERS):
        await deployment.add_upstream(
            Upstream(store, record, "reservas", f"i-old{number}", work_s=0.12))
    if not await deployment.start_vms(VMS):
        return None
    await asyncio.sleep(3.0)
    reader = await busiest_reader(deployment)
    record.add(f"{reader} reads the servers' topic; most consumers are at it")
    stop, answers = asyncio.Event(), []
    steady = asyncio.create_task(consume(deployment, reader, 0.016, stop, answers))
    others = [vm for vm in VMS if vm != reader]
    await asyncio.sleep(2.0)
    accepted = {}
    for number in range(REPLACED):
        await deployment.add_upstream(
            Upstream(store, record, "reservas", f"i-new{number}", work_s=0.12))
        await asyncio.sleep(3.0)
        old = deployment.upstreams[f"i-old{number}"]
        if trouble:
            await old.drain()
            accepted[old.id] = record.now()
        batches = [asyncio.create_task(batch(deployment, vm, after_s, answers))
                   for vm, after_s in zip(others[number:] + others[:number], BATCHES_S)]
        await asyncio.sleep(DRAIN_S + STAYS_S)
        if trouble:
            await old.exit()
        await asyncio.gather(*batches)
    stop.set()
    await steady
    late = [(name, ident, at - accepted[name]) for name in accepted
            for at, ident in deployment.upstreams[name].arrivals if at - accepted[name] > DRAIN_S]
    for name, ident, after in late:
        record.add(f"DRAIN: {ident} reached {name} {after:.3f} s after its report was accepted")
    lost = [answer for answer in answers if answer.status not in (200, 503, 429)]
    for answer in lost:
        record.add(f"{answer.id} answered {answer.status}, though no server failed")
    record.add(f"{len(answers)} requests, {len(lost)} without 200, 429 or 503; "
               f"{len(late)} reached a leaving upstream later than {DRAIN_S} s")
    return not late


main(case, FOLDER)

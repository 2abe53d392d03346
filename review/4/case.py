"""An upstream fails a part of its unsafe requests: it has run them and answers 503 with its
signature and without `X-Not-Executed`.

Rule REFUSED: a request that isn't idempotent isn't answered 429 or 503 if it has run.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import Upstream, main, response_bytes, route, service  # noqa: E402

VMS = ["edge-sierra-a-1", "edge-sierra-b-1"]
REQUESTS = 200
FAILED_SHARE = 0.45  # of the requests at the upstream that is at fault: the site's srv_grey


class GreyUpstream(Upstream):
    """Its work is done when a later step fails; its health path stays good."""

    fails = False

    async def answer(self, request, ident, echo):
        if not self.fails or int(ident[1:]) % 100 >= FAILED_SHARE * 100:
            await super().answer(request, ident, echo)
            return
        self.record.add(f"{self.id} has run {ident} and answers 503 without X-Not-Executed")
        request.writer.write(response_bytes(503, echo + [
            ("X-Upstream-Signature", f"sig.{self.id}.{ident}")], b"cannot confirm"))


async def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    await deployment.configure([service("reservas")],
                               [route("book", "/book/", "reservas", kind="unsafe")])
    servers = []
    for number in range(6):
        servers.append(await deployment.add_upstream(
            GreyUpstream(store, record, "reservas", f"i-reservas{number}", work_s=0.05)))
    if not await deployment.start_vms(VMS):
        return None
    await asyncio.sleep(3.0)
    servers[0].fails = trouble
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(
            deployment.send(VMS[number % len(VMS)], "POST", "/book/1", body=b"lesson")))
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*tasks)
    broken = [answer for answer in answers if answer.status in (408, 421, 429, 503)
              and any(answer.id in server.runs for server in servers)]
    for answer in broken:
        record.add(f"REFUSED: {answer.id} was answered {answer.status} and has run")
    served = sum(answer.status == 200 for answer in answers)
    record.add(f"{len(answers)} requests, {served} served, {len(broken)} refused that had run")
    return not broken


main(case, FOLDER)

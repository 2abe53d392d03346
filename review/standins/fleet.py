"""Stand-ins for the scripts of the review: the platform's store, upstreams, consumers and entry VMs.

Everything listens on 127.0.0.1. The store has one port for each entry VM, so that a script knows
which VM makes a call. An upstream behaves as a sound server of the users' pages unless a script
overrides one of its methods.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/bin/figlandingd-platform"
DRAIN_S = 2.0
HEARTBEAT_S = 0.87
HOST = "jepu9.example"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def seconds(text):
    return float(text[:-2]) / 1000.0 if text.endswith("ms") else float(text[:-1])


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.writer = writer
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, handle):
        self.handle, self.server, self.writers = handle, None, set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.handle(Request(method, target, headers, body, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Ends as a process that was killed: no connection is accepted, all are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: a log with keyed topics, and groups."""

    def __init__(self, record):
        self.record, self.topics, self.groups, self.generation = record, {}, {}, {}
        self.changed = asyncio.Condition()
        self.reads = {}  # (VM, topic): number of reads

    async def port_for(self, vm):
        async def handle(request):
            await self.handle(vm, request)
        return await HttpServer(handle).listen()

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        """Appends as the operator or a server does. Returns when the store has accepted it."""
        data = None if value is None else value if isinstance(value, bytes) else value.encode()
        self.topic(topic).append((key, data))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, vm, request):
        call = {"/api/log-read": self.read, "/api/log-append": self.append,
                "/api/log-newest": self.newest, "/api/log-join": self.join,
                "/api/log-leave": self.leave}.get(request.path)
        await asyncio.sleep(0.004)
        status, body = await call(vm, request) if call else (404, b"{}")
        request.writer.write(response_bytes(status, [("Content-Type", "application/json")], body))

    async def read(self, vm, request):
        name, start = request.query["Topic"], int(request.query["From"])
        self.reads[(vm, name)] = self.reads.get((vm, name), 0) + 1
        records = self.topic(name)
        until = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000.0
        while len(records) <= start and (left := until - time.monotonic()) > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            data = bytes([len(key.encode())]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(data)) + data
        return 200, body

    async def append(self, vm, request):
        records = self.topic(request.query["Topic"])
        if "At" in request.query and int(request.query["At"]) != len(records):
            return 412, json.dumps({"End": len(records)}).encode()
        offset, body = len(records), request.body
        while body:
            size = struct.unpack(">I", body[:4])[0]
            data, body = body[4:4 + size], body[4 + size:]
            key, value = data[1:1 + data[0]], data[1 + data[0]:]
            records.append((key.decode(), value or None))
        async with self.changed:
            self.changed.notify_all()
        return 200, json.dumps({"Offset": offset, "End": len(records)}).encode()

    async def newest(self, vm, request):
        records, last = self.topic(request.query["Topic"]), {}
        for offset, (key, _) in enumerate(records):
            last[key] = offset
        after = request.query.get("after", "")
        keys = [key for key in sorted(last) if key > after and records[last[key]][1]]
        items = [{"Key": key, "Value": base64.b64encode(records[last[key]][1]).decode(),
                  "Offset": last[key]} for key in keys[:50]]
        return 200, json.dumps({"items": items, "More": len(keys) > 50,
                                "End": len(records)}).encode()

    def expire_members(self, group):
        now = time.monotonic()
        gone = [name for name, until in group.items() if until <= now]
        for name in gone:
            del group[name]
        return bool(gone)

    async def join(self, vm, request):
        call = json.loads(request.body)
        name, member = call["group"], call["Member"]
        group = self.groups.setdefault(name, {})
        changed = self.expire_members(group) or member not in group
        group[member] = time.monotonic() + seconds(call["Ttl_time"])
        self.generation[name] = self.generation.get(name, 0) + (1 if changed else 0)
        # Members keep the order in which they joined, so that partition 0 stays with its holder.
        members = list(group)
        parts = [[call["Topics"][0], part, 0] for part in range(12)
                 if members[part % len(members)] == member]
        return 200, json.dumps({"Generation": self.generation[name], "parts": parts}).encode()

    async def leave(self, vm, request):
        call = json.loads(request.body)
        if self.groups.get(call["group"], {}).pop(call["Member"], None):
            self.generation[call["group"]] += 1
        return 200, b"{}"


class Upstream:
    """A server: holds keys if its service is sharded, and runs requests."""

    def __init__(self, store, record, service, instance, sharded=False, work_s=0.05, slots=2,
                 zone="sierra-a"):
        self.store, self.record, self.service, self.id = store, record, service, instance
        self.sharded, self.work_s, self.slots, self.zone = sharded, work_s, slots, zone
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.holds = []  # [from, to, fence, until]
        self.seen = []  # (from, to, fence)
        self.running = {}  # request id: key
        self.waiting, self.free = 0, asyncio.Semaphore(slots)
        self.runs = {}  # request id: number of runs
        self.arrivals = []  # (time, request id)
        self.http, self.port, self.alive = HttpServer(self.handle), None, True
        self.beats = None

    async def start(self):
        self.port = await self.http.listen()
        await self.announce()
        self.beats = asyncio.create_task(self.announce_regularly())
        return self

    def entry(self):
        return {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                "Version": "v1", "MaxConcurrency": self.slots, "State": self.state,
                "WarmupRemaining": "0ms", "Sequence": self.sequence, "born": self.born}

    async def announce(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.id, json.dumps(self.entry()))

    async def announce_regularly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.announce()

    async def drain(self):
        """Reports draining. Returns when the store has accepted the report."""
        self.state = "draining"
        await self.announce()
        self.record.add(f"{self.id} reports draining, the store has accepted it")

    async def exit(self):
        """Ends the process; its entry is removed."""
        self.alive = False
        self.beats.cancel()
        self.http.abort()
        await self.store.put("keyed.servers", self.id, None)
        self.record.add(f"{self.id} exits, with {len(self.running)} requests at work")

    def holds_key(self, key):
        now = time.monotonic()
        return any(h[0] <= key <= h[1] and h[3] > now for h in self.holds)

    def extra_headers(self):
        return [("Server-Leaving", "1")] if self.state == "draining" else []

    async def handle(self, request):
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            request.writer.write(response_bytes(421, [
                ("X-Not-Executed", "1"), ("X-Instance-Id", self.id),
                ("X-Request-Id", request.headers.get("x-request-id", ""))]))
        elif request.path == "/api/grant":
            await self.on_grant(request)
        elif request.path == "/api/release":
            await self.on_release(request)
        else:
            await self.on_request(request)

    async def on_grant(self, request):
        call = json.loads(request.body)
        first, last, fence = call["From"], call["To"], call["fence"]
        higher = any(s[0] <= last and first <= s[1] and s[2] > fence for s in self.seen)
        self.record.add(f"{self.id} gets grant {first}-{last} fence {fence}"
                        + (": 409" if higher else ""))
        if higher:
            request.writer.write(response_bytes(409))
            return
        self.remove(first, last)
        self.holds.append([first, last, fence, time.monotonic() + seconds(call["Hold"])])
        self.seen = [s for s in self.seen if not (first <= s[0] and s[1] <= last)]
        self.seen.append((first, last, fence))
        request.writer.write(response_bytes(200))

    def remove(self, first, last):
        left = []
        for hold in self.holds:
            if hold[1] < first or hold[0] > last:
                left.append(hold)
                continue
            if hold[0] < first:
                left.append([hold[0], first - 1, hold[2], hold[3]])
            if hold[1] > last:
                left.append([last + 1, hold[1], hold[2], hold[3]])
        self.holds = left

    async def on_release(self, request):
        call = json.loads(request.body)
        first, last = call["From"], call["To"]
        self.record.add(f"{self.id} gets release {first}-{last} fence {call['fence']}")
        self.remove(first, last)
        while any(first <= key <= last for key in self.running.values()):
            await asyncio.sleep(0.005)
        self.record.add(f"{self.id} answers release {first}-{last}")
        request.writer.write(response_bytes(200, [("X-Lease-Handover", os.urandom(8).hex())]))

    async def on_request(self, request):
        ident = request.headers.get("x-request-id", "")
        key = int(request.headers.get("x-shard-key", "-1"))
        echo = [("X-Request-Id", ident)] + self.extra_headers()
        if self.sharded and not self.holds_key(key):
            request.writer.write(response_bytes(421, echo + [("X-Not-Executed", "1"),
                                                             ("X-Instance-Id", self.id)]))
            return
        self.arrivals.append((self.record.now(), ident))
        self.record.add(f"{self.id} is reached by {ident}")
        if self.waiting >= 8:
            request.writer.write(response_bytes(503, echo + [("X-Not-Executed", "1")]))
            return
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running[ident] = key
        self.runs[ident] = self.runs.get(ident, 0) + 1
        self.record.add(f"{self.id} runs {ident}" + (f" key {key}" if key >= 0 else ""))
        try:
            await asyncio.sleep(self.work_s)
            if not self.alive:
                return
            await self.answer(request, ident, echo)
        finally:
            self.running.pop(ident, None)
            self.free.release()

    async def answer(self, request, ident, echo):
        load = f"{len(self.running)},{self.waiting},{self.slots}"
        request.writer.write(response_bytes(200, echo + [
            ("X-Upstream-Signature", f"sig.{self.id}.{ident}"), ("X-Upstream-Load", load)],
            f"done {ident}".encode()))


class Vm:
    """One entry VM: the deployed program, started with the deploy file's command."""

    def __init__(self, folder, record, name, zone="sierra-a"):
        self.folder, self.record, self.name, self.zone = folder, record, name, zone
        self.callers, self.process = free_port(), None
        self.readiness, self.admin = free_port(), free_port()
        self.fleet = free_port(socket.SOCK_DGRAM)

    def settings(self, store_port):
        values = {"NodeName": self.name, "Zone": self.zone,
                  "Listen.EdgeAddress": f"127.0.0.1:{self.callers}",
                  "Listen.Readiness": f"127.0.0.1:{self.readiness}",
                  "Listen.Admin": f"127.0.0.1:{self.admin}", "Ip": "127.0.0.1",
                  "InternalPorts.0": str(self.fleet),
                  "Platform.Address": f"127.0.0.1:{store_port}", "Limits.CpuQuota": "0.2",
                  "Heartbeat": "870ms", "Bounds.Propagation": "2000ms", "Bounds.Drain": "2000ms",
                  "Bounds.GracePeriod": "6s", "Bounds.HoldMax": "10000ms",
                  "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "60",
                  "#Bounds.CanaryShare": "", "Bounds.CanaryShare": "0.1",
                  "/Bounds.CanaryShare": "", "Limits.MemoryMb": "260", "Limits.MaxFds": "4100"}
        with open(os.path.join(ROOT, "deploy", "settings.json")) as template:
            return re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m.group(1)], template.read())

    async def start(self, store_port):
        path = os.path.join(self.folder, self.name + ".settings")
        with open(path, "w") as file:
            file.write(self.settings(store_port))
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["FIGLANDING_SETTINGS"] = path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.add(f"{self.name} starts")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            status, _, _ = await exchange(self.readiness, "GET", "/api/readyz",
                                          {"Host": "127.0.0.1"}, b"", 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def exchange(port, method, target, headers, body, timeout):
    """Sends one request on a new connection. Returns status, headers and body of the answer."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, found = await read_head(reader)
            content = await reader.readexactly(int(found.get("content-length", "0")))
            return int(line.split(" ")[1]), found, content
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Answer:
    def __init__(self, ident, sent, status, headers):
        self.id, self.sent, self.status, self.headers = ident, sent, status, headers


class Deployment:
    """A store, upstreams and entry VMs; all of them end with it."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.vms, self.upstreams = Store(self.record), {}, {}
        self.count = 0

    async def configure(self, services, routes, tenants=None):
        state = {"Version": "r1", "Routes": routes, "Services": services,
                 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576,
                            "HeaderTimeout": "5000ms", "IdleTimeout": "30s"}}
        if tenants:
            state["Tenants"] = tenants
        await self.store.put("keyed.op", "config", json.dumps(state))

    async def add_upstream(self, upstream):
        self.upstreams[upstream.id] = await upstream.start()
        return upstream

    async def start_vms(self, names):
        for name in names:
            self.vms[name] = Vm(self.folder, self.record, name)
            await self.vms[name].start(await self.store.port_for(name))
        for _ in range(150):
            if all([await vm.ready() for vm in self.vms.values()]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def send(self, vm, method, path, key=None, deadline_ms=2500, body=b""):
        """Sends a request of a consumer, records and returns its answer."""
        self.count += 1
        ident, sent = f"q{self.count:05d}", self.record.now()
        headers = {"Host": HOST, "X-Request-Id": ident, "X-Deadline-Ms": deadline_ms}
        if key is not None:
            headers["X-Shard-Key"] = key
        self.record.add(f"{ident} sent to {vm}: {method} {path}"
                        + (f" key {key}" if key is not None else ""))
        try:
            status, found, _ = await exchange(self.vms[vm].callers, method, path, headers, body,
                                              deadline_ms / 1000.0 + 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, found = 0, {"error": type(error).__name__}
        self.record.add(f"{ident} answered {status or found['error']}")
        return Answer(ident, sent, status, found)

    async def close(self):
        for vm in self.vms.values():
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGTERM)
        for vm in self.vms.values():
            if vm.process:
                try:
                    await asyncio.wait_for(vm.process.wait(), 8.0)
                except asyncio.TimeoutError:
                    vm.send_signal(signal.SIGKILL)
                    await vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="safe", timeout="2500ms", attempts=3):
    return {"Name": name, "Hostname": HOST, "PathPrefix": prefix, "RouteType": kind,
            "Timeout": timeout, "TargetLatency": "400ms", "Service": service,
            "Attempts": attempts, "Priority": 1, "Public": True}


def service(name, sharded=False):
    result = {"Name": name, "HealthCheckPath": "/healthz", "MaxConnections": 120,
              "Warmup": "3000ms", "WarmupPerS": 4.8}
    if sharded:
        result["Sharded"] = True
    return result


def main(case, folder):
    """Runs a case. It returns whether the rule held, or None if the case could not run."""
    if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
        print(f"{PROGRAM} is not built")
        raise SystemExit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment, trouble), 100.0)
        except (asyncio.TimeoutError, OSError) as error:
            deployment.record.add(f"the case could not run: {error!r}")
            return None
        finally:
            await deployment.close()

    held = asyncio.run(run())
    print({True: "held", False: "broken", None: "could not run"}[held])
    raise SystemExit({True: 0, False: 1, None: 2}[held])

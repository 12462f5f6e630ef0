"""Stand-ins for the platform's store, backends and callers, and a starter of nodes. Loopback only."""

import asyncio
import base64
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = ["target/fescued", "--settings"]  # The command of deploy/system.toml.


class Record:
    """Protocol of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns (start line, list of fields, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = [(n.strip().lower(), v.strip()) for n, _, v in (line.partition(":") for line in lines[1:])]
    named = dict(fields)
    body = b""
    if "chunked" in named.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    elif "content-length" in named:
        body = await reader.readexactly(int(named["content-length"]))
    return lines[0], named, body


def message(status, fields, body):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's key-value store. Each node has a listener of its own, which can be partitioned."""

    def __init__(self):
        self.items = {}  # key -> (value, revision, created, lease)
        self.revision = 10
        self.events = []  # (revision, key or event)
        self.changed = asyncio.Condition()
        self.leases = {}
        self.next_lease = 100
        self.cut = set()  # Names of nodes whose path to the store is partitioned.
        self.reads = {}  # node -> set of prefixes that it reads or watches
        self.calls = 0
        self.servers = []
        self.open = {}  # node -> set of writers
        self.watching = {}  # writer -> prefix of the watch that waits

    async def listen(self, node, address, port):
        async def serve(reader, writer):
            await self.serve(node, reader, writer)

        self.servers.append(await asyncio.start_server(serve, address, port))

    async def put(self, key, value):
        """A write by the operator or a backend. Returns when it is acknowledged."""
        async with self.changed:
            self._put(key, value, 0)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self._remove(key)
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, self._item(key)))

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append((self.revision, key, {"key": key, "revision": self.revision, "tombstone": True}))

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    async def expire(self):
        while True:
            await asyncio.sleep(0.2)
            ended = [i for i, (_, until) in self.leases.items() if until < time.monotonic()]
            for lease in ended:
                del self.leases[lease]
                for key in [k for k, v in self.items.items() if v[3] == lease]:
                    await self.remove(key)

    async def serve(self, node, reader, writer):
        self.open.setdefault(node, set()).add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                while node in self.cut:
                    await asyncio.sleep(0.05)
                self.calls += 1
                method, target, _ = line.split(" ")
                answer = await self.answer(node, writer, method, urllib.parse.urlsplit(target), body)
                while node in self.cut:
                    await asyncio.sleep(0.05)
                if answer is None:
                    break
                status, result = answer
                writer.write(message(status, {"Content-Type": "application/json"},
                                     json.dumps(result).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open[node].discard(writer)
            writer.close()

    def cut_watches(self, prefix):
        """Ends the calls that wait for changes under a prefix without a response."""
        for writer, watched in list(self.watching.items()):
            if watched == prefix:
                writer.close()

    async def answer(self, node, writer, method, url, body):
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/api/kv-key":
            key = query["key"]
            self.reads.setdefault(node, set()).add(key)
            if key not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, {**self._item(key), "currentRev": self.revision}
        if url.path == "/api/kv-range":
            self.reads.setdefault(node, set()).add(query["prefix"])
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self._item(k) for k in keys[:500]], "hasMore": len(keys) > 500,
                         "currentRev": self.revision}
        if url.path == "/api/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            self.reads.setdefault(node, set()).add("watch " + prefix)
            self.watching[writer] = prefix
            end = time.monotonic() + int(query["waitMs"]) / 1000
            try:
                while not writer.is_closing():
                    events = [e for r, k, e in self.events if r > after and k.startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "currentRev": self.revision}
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                        except asyncio.TimeoutError:
                            pass
                return None
            finally:
                self.watching.pop(writer, None)
        data = json.loads(body) if body else {}
        if url.path == "/api/kv-lease":
            self.next_lease += 1
            ttl = float(data["ttl_time"].rstrip("ms")) / 1000
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self.next_lease, "ttl_time": data["ttl_time"]}
        if url.path.startswith("/api/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_time": f"{int(ttl * 1000)}ms"}
        if url.path == "/api/kv-txn":
            for row in data.get("expectedRevision", []):
                known = self.items[row["key"]][1] if row["key"] in self.items else 0
                if known != row["revision"]:
                    return 412, {"items": []}
            async with self.changed:
                for row in data.get("puts", []):
                    self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                for key in data.get("remove", []):
                    self._remove(key)
                self.changed.notify_all()
            return 200, {"revision": self.revision}
        return 404, {}


class Backend:
    """One backend: runs requests in its slots, and registers itself in the store."""

    def __init__(self, store, record, service, name, address, port, zone, slots=8, work=0.02):
        self.store, self.record = store, record
        self.service, self.name, self.address, self.port = service, name, address, port
        self.zone, self.slots, self.work = zone, slots, work
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.registered = True
        self.runs = []  # (request id, time, path)
        self.busy = 0
        self.server = None
        self.writers = set()

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.address}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemaining": "0ms"}}).encode()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while self.registered:
            await self.store.put("servers/" + self.name, self.entry())
            await asyncio.sleep(1.5)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                await self.handle(writer, line, fields, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def extra_fields(self, request):
        return {}

    async def handle(self, writer, line, fields, body):
        method, target, _ = line.split(" ")
        request = fields.get("x-fescueramp-request-id", "")
        if target == "/health":
            return writer.write(message(200, {"X-Fescueramp-Instance-Id": self.name}, b"ok"))
        if fields.get("x-fescueramp-expect-instance", self.name) != self.name:
            return writer.write(message(421, {"X-Fescueramp-Request-Id": request,
                                              "X-Fescueramp-Instance-Id": self.name}, b""))
        if not request:
            return writer.write(message(400, {"X-Fescueramp-Not-Executed": "1"}, b""))
        if self.busy >= self.slots:
            return writer.write(message(503, {"X-Fescueramp-Request-Id": request,
                                              "X-Fescueramp-Not-Executed": "1"}, b""))
        self.busy += 1
        self.runs.append((request, time.monotonic(), target))
        self.record.write(f"run      {request} {method} {target} at {self.name} of {self.service}")
        try:
            await asyncio.sleep(self.work)
        finally:
            self.busy -= 1
        answer = f"{self.service}|{self.name}|{request}".encode()
        writer.write(message(200, {"X-Fescueramp-Request-Id": request, "X-Fescueramp-Response-Seal": "s." + request,
                                   **self.extra_fields(request)}, answer))


class Fleet:
    """Nodes with the settings that platform/node.jsonc gives them, on loopback addresses of their own."""

    def __init__(self, folder, record, store, nodes, net=None, memory_mb=260, zones=("z-a",), cpu_share=0.2,
                 link_mbps=1000.0, fds=4100):
        self.record, self.store = record, store
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = net or random.randint(10, 250)
        self.names = [f"front-{zones[i % len(zones)]}-{i}" for i in range(nodes)]
        self.zone = {n: zones[i % len(zones)] for i, n in enumerate(self.names)}
        self.address = {n: f"127.{net}.0.{i + 1}" for i, n in enumerate(self.names)}
        ports = random.sample(range(20000, 30000), 7)  # Below the range of ports for outgoing connections.
        self.front, self.ready, self.control, self.link, self.admin, self.store_port, self.backend_port = ports
        self.memory_mb, self.cpu_share, self.link_mbps, self.fds = memory_mb, cpu_share, link_mbps, fds
        self.process = {}

    def settings(self, node):
        own = self.address[node]
        return {
            "adapter": "platform", "node": node, "region": "r", "zone": self.zone[node],
            "caller_address": f"{own}:{self.front}", "ready_address": f"{own}:{self.ready}",
            "link_port": self.link, "gossip_port": self.link, "admin_port": self.admin,
            "platform": {"address": f"{own}:{self.store_port}"},
            "seed_hosts": [f"{self.address[n]}:{self.control}" for n in self.names[:3]],
            "link_keys": ["replace-this-link-key"], "receipt_keys": ["replace-this-receipt-key"],
            "claims": False, "receipts": False, "discovery": True, "claim_groups": 64, "journal_records": 512,
            "cpu_share": self.cpu_share, "link_mbps": self.link_mbps, "memory_mb": self.memory_mb,
            "shutdown_grace_s": "6s", "leave_notice_ms": 2600,
            "service_defaults": {"floor": 0.7, "retry_ratio": 0.2, "retry_burst": 56, "retry_window_ms": "10s",
                                 "hedge_quantile": 0.93, "part_endpoints": 10}}

    async def start(self):
        for node in self.names:
            await self.store.listen(node, self.address[node], self.store_port)
        asyncio.ensure_future(self.store.expire())
        for node in self.names:
            self.start_node(node)
        for node in self.names:
            await self.wait_ready(node)

    def start_node(self, node):
        import resource
        path = os.path.join(self.folder, node + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(node), file)
        log = open(os.path.join(self.folder, node + ".log"), "a")
        limits = (min(self.fds, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2
        self.process[node] = subprocess.Popen(
            DAEMON + [path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "FESCUERAMP_BOOT": path},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))

    async def ready_now(self, node, timeout=1.0):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.address[node], self.ready, "GET", "/api/ready", {"Host": "x"}), timeout)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, node, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready_now(node):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(node + " is not ready")

    def memory(self, node):
        """Resident memory of a node's process, MB."""
        with open(f"/proc/{self.process[node].pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    def stop(self):
        for process in self.process.values():
            if process.poll() is None:
                process.kill()
        for process in self.process.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, port, method, target, fields, body=b"", connection=None):
    """One request on a connection of its own, or on a kept one. Returns (status, fields, body)."""
    reader, writer = connection or await asyncio.open_connection(address, port)
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    writer.write(head.encode("latin-1") + b"\r\n" + body)
    try:
        line, answer, content = await read_message(reader)
        return int(line.split(" ")[1]), answer, content
    finally:
        if not connection:
            writer.close()


def run(case, limit=112):
    """Runs a case and ends the process with its exit code; 2 if it couldn't run."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda *_: None)  # Connections that end with the run.
    try:
        code = loop.run_until_complete(asyncio.wait_for(case, limit))
    except Exception as error:
        print("couldn't run:", repr(error), file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)


def request_id():
    return f"{random.getrandbits(64):016x}"


def route(name, host, prefix, service, kind="idempotent", timeout="1500ms", attempts=2, priority=1):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout": timeout,
            "targetLatency": "600ms", "priority": priority, "service": service, "maxAttempts": attempts}


def config(version, routes, services):
    return json.dumps({
        "version": f"{version:08x}", "routes": routes,
        "services": [{"name": s, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": False}
                     for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                   "idleTimeout": "15000ms"}}).encode()

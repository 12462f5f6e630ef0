"""Small deployment on loopback: nodes of the deploy file, and stand-ins for the store, the backends and the clients.

The stand-ins follow PROTOCOL.md and run in this process. Only the nodes are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"drain": "2000ms", "grace": "6s", "floorShare": 0.7, "retryBudgetRatio": 0.2, "budgetSlack": 56,
          "budgetWindow": "10s"}


class Record:
    """Writes what happened to the record of a case, one JSON object a line."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return round(time.monotonic() - self.start, 4)

    def write(self, event, **fields):
        self.file.write(json.dumps({"t": self.now(), "event": event, **fields}) + "\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the header fields; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def http_message(start, fields, body=b""):
    lines = [start] + ["%s: %s" % item for item in fields.items()] + ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's metadata store: keys with revisions, watches and leases."""

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.items, self.history, self.leases = {}, [], {}
        self.changed = asyncio.Event()
        self.stale_s = 0  # Age of reads with `serializable`, seconds.
        self.writes = []  # Time, key and item (none if it was removed) of each change.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.writes.append((time.monotonic(), key, dict(self.items[key])))
        self._add_change(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.writes.append((time.monotonic(), key, None))
        self._add_change({"key": key, "revision": self.revision, "tombstone": True})

    def _add_change(self, change):
        self.history.append(change)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, reply = await self.answer(method, target, body, writer)
                await asyncio.sleep(0.004)
                reply.setdefault("currentRev", self.revision)
                data = json.dumps(reply).encode()
                writer.write(http_message("HTTP/1.1 %d X" % status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        items = self.stale_items() if query.get("serializable") == "1" else self.items
        if url.path == "/api/kv-key":
            item = items.get(query["key"])
            return (200, dict(item)) if item else (404, {})
        if url.path == "/api/kv-range":
            items = [i for k, i in sorted(items.items())
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": items, "hasMore": False}
        if url.path == "/api/kv-watch":
            return await self.watch(query, writer)
        if url.path == "/api/kv-lease":
            lease = len(self.leases) + 1
            self.leases[lease] = True
            return 200, {"lease": lease, "ttl_time": json.loads(body)["ttl_time"]}
        if url.path.startswith("/api/kv-keep/"):
            return 200, {"ttl_time": "30000ms"}
        if url.path == "/api/kv-txn":
            for put in json.loads(body)["puts"]:
                self.put(put["key"], base64.b64decode(put["value"]).decode(), put["lease"])
            return 200, {"revision": self.revision}
        return 404, {}

    def stale_items(self):
        items = {}
        for written, key, item in self.writes:
            if written > time.monotonic() - self.stale_s:
                break
            items[key] = item
        return {key: item for key, item in items.items() if item}

    async def watch(self, query, writer):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            event = self.changed
            changes = [c for c in self.history if c["revision"] > after and c["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if changes or left <= 0:
                return 200, {"events": changes}
            if writer.is_closing():
                raise ConnectionError
            try:
                await asyncio.wait_for(event.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


class Backend:
    """One backend of a service. `work` returns the time in seconds that a request takes."""

    def __init__(self, fleet, service, index, zone, slots, work, address):
        self.fleet, self.service, self.zone, self.slots, self.work = fleet, service, zone, slots, work
        self.name, self.address = "i-%s-%d" % (service, index), address
        self.busy, self.queue, self.sequence = 0, 0, 0
        self.outages = []  # Times at which it crashed and was up again.
        self.state, self.up, self.born = "ready", False, 0
        self.free = asyncio.Condition()
        self.writers = set()
        self.reject = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.up, self.born, self.busy, self.queue = True, int(time.time() * 1000), 0, 0
        self.free = asyncio.Condition()
        self.generation = getattr(self, "generation", 0) + 1
        if self.outages:
            self.outages[-1][1] = self.fleet.record.now()
        self.beat()

    def sound_throughout(self, since, until):
        return not any(start <= until and end >= since for start, end in self.outages)

    def beat(self):
        """Writes its entry. Heartbeats that change only `sequence` don't change the entry in the store."""
        self.sequence += 1
        entry = {"address": "%s:%d" % self.address, "born": self.born,
                 "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                 "status": {"state": self.state, "sequence": self.sequence, "coldRemaining": "0ms"}}
        self.fleet.store.put("servers/" + self.name, json.dumps(entry))

    async def crash(self):
        """The process is killed: its connections are reset and its port is closed."""
        self.up = False
        self.outages.append([self.fleet.record.now(), float("inf")])
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.fleet.record.write("backend_crashed", backend=self.name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        generation = self.generation
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                body = await read_body(reader, head[1])
                await self.handle(head, body, reader, writer, generation)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer, generation):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        request = fields.get("x-fescueramp-request-id", "")
        answer = {"X-Fescueramp-Request-Id": request, "Keep-Alive": "timeout=10",
                  "X-Fescueramp-Instance-Id": self.name}
        expected = fields.get("x-fescueramp-expect-instance", self.name)
        if expected != self.name:
            writer.write(http_message("HTTP/1.1 421 Misdirected Request", answer))
            return await writer.drain()
        if not request or self.reject or self.queue >= 8:
            status = "400 Bad Request" if not request else "503 Service Unavailable"
            self.fleet.record.write("rejected", id=request, backend=self.name)
            writer.write(http_message("HTTP/1.1 " + status, {**answer, "X-Fescueramp-Not-Executed": "1"}))
            return await writer.drain()
        self.queue += 1
        async with self.free:
            while self.busy >= self.slots:
                await self.free.wait()
            self.busy += 1
            self.queue -= 1
        self.fleet.record.write("run", id=request, backend=self.name, method=method, path=target, state=self.state)
        self.fleet.runs.setdefault(request, []).append((self.fleet.record.now(), self, head[0], body))
        try:
            await self.sleep_while_open(self.work(method, target), reader, writer)
        finally:
            async with self.free:
                self.busy -= 1
                self.free.notify()
        if writer.is_closing() or generation != self.generation or not self.up:
            raise ConnectionError
        if self.state == "draining":
            answer["Server-Leaving"] = "1"
        answer["X-Fescueramp-Response-Seal"] = "seal-%s" % request
        self.fleet.record.write("ran", id=request, backend=self.name)
        writer.write(http_message("HTTP/1.1 200 OK", answer, b"answer to " + request.encode()))
        await writer.drain()

    async def sleep_while_open(self, seconds, reader, writer):
        """Most backends drop a request when its connection closes."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            if reader.at_eof() or writer.is_closing():
                raise ConnectionError
            await asyncio.sleep(min(left, 0.02))


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Connection:
    """One kept connection of a client to a node."""

    def __init__(self, fleet, node):
        self.fleet, self.node, self.writer = fleet, node, None

    async def open(self):
        if self.writer and not self.writer.is_closing() and not self.reader.at_eof():
            return False
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.node.ip, self.fleet.caller_port), 1)
        return True

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def send(self, method, host, path, deadline_ms, body=b"", request=None):
        """Sends a request. Returns its answer; None if the connection ended without a complete one."""
        request = request or self.fleet.new_id()
        started = self.fleet.record.now()
        fields = {"Host": host, "X-Fescueramp-Request-Id": request, "X-Fescueramp-Deadline-Ms": str(deadline_ms)}
        answer, kept, why = None, False, ""
        try:
            kept = not await self.open()
            self.writer.write(http_message("%s %s HTTP/1.1" % (method, path), fields, body))
            answer = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            why = "timeout"
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            why = type(error).__name__
        self.fleet.record.write("answered" if answer else "closed", id=request, node=self.node.name, sent=started,
                                kept=kept, status=answer.status if answer else 0, why=why)
        self.fleet.requests[request] = {"node": self.node, "sent": started, "ended": self.fleet.record.now(),
                                        "kept": kept, "answer": answer, "why": why, "method": method}
        if not answer or answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_answer(self):
        while True:
            head = await read_head(self.reader)
            if not head:
                raise ConnectionError
            status = int(head[0].split(" ")[1])
            if status >= 200:
                return Answer(status, head[1], await read_body(self.reader, head[1]))


class Node:
    """One machine of the fleet with its process."""

    def __init__(self, fleet, index, zone):
        self.fleet, self.zone, self.index = fleet, zone, index
        self.name, self.ip = "front-%s-%d" % (zone, index), fleet.ip(index)
        self.process, self.started, self.own_ends = None, 0.0, []
        self.stopping = False

    def settings(self):
        fleet = self.fleet
        return {
            "node": self.name, "region": "addis", "zone": self.zone,
            "listen": {"front": "%s:%d" % (self.ip, fleet.caller_port), "ready": "%s:%d" % (self.ip, fleet.ready_port)},
            "internalPorts": [fleet.internal_port, fleet.internal_port + 15],
            "platform": {"address": "%s:%d" % (fleet.store_address_of_nodes or fleet.store.address)},
            "seeds": ["%s:%d" % (n.ip, fleet.ready_port + 1) for n in fleet.nodes[:3]],
            "limits": {"cpuShare": 0.2, "linkMbps": 1000.0}, "bounds": BOUNDS}

    async def start(self):
        with open(os.path.join(ROOT, "platform/node.jsonc")) as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.fleet.folder, self.name + ".jsonc")
        with open(path, "w") as file:
            file.write(text)
        command = self.fleet.command.replace("/etc/fescueramp/node.yaml", path).split(" ")
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.started = self.fleet.record.now()
        self.stopping = False
        self.fleet.record.write("node_started", node=self.name, pid=self.process.pid)
        self.watcher = asyncio.ensure_future(self.watch(self.process))

    async def watch(self, process):
        """The platform restarts a process that ends by itself."""
        code = await process.wait()
        if self.stopping or self.fleet.stopped:
            return
        self.own_ends.append(self.fleet.record.now())
        self.fleet.record.write("node_ended_by_itself", node=self.name, code=code)
        await asyncio.sleep(0.5)
        if not self.fleet.stopped:
            await self.start()

    def signal(self, number):
        self.stopping = number in (signal.SIGTERM, signal.SIGKILL) or self.stopping
        self.process.send_signal(number)
        self.fleet.record.write("signal", node=self.name, number=int(number))

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.fleet.ready_port), 1)
            writer.write(http_message("GET /api/ready HTTP/1.1", {"Host": "ready", "Connection": "close"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


def render(template, values):
    """Fills in a settings template as DEPLOY.md tells it, as far as platform/node.jsonc needs that."""
    def lookup(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        entries = lookup(match.group(1))
        return "".join(match.group(2).replace("{{.}}", str(entry)).replace("{{,}}", "," if i + 1 < len(entries) else "")
                       for i, entry in enumerate(entries))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


def free_ports(count):
    """Returns TCP ports that are free on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Fleet:
    """The whole deployment. Ports are free ones; each machine has a loopback address of its own."""

    def __init__(self, record_path, nodes=3, seed=1):
        self.stopped = False
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="fescue-review-")
        self.random = random.Random(seed)
        self.net = "127.%d.%d" % (64 + os.getpid() // 250 % 128, 1 + os.getpid() % 250)
        self.caller_port, self.ready_port, self.internal_port, self.store_port, self.backend_port = free_ports(5)
        self.store = Store((self.ip(200), self.store_port))
        self.store_address_of_nodes = None  # Address of a proxy before the store, if there is one.
        self.nodes = []
        zones = ["addis-bole", "addis-kirkos", "addis-yeka", "addis-arada"]
        self.nodes = [Node(self, i + 1, zones[i % len(zones)]) for i in range(nodes)]
        self.backends, self.routes, self.services = [], [], []
        self.runs, self.requests, self.next_id = {}, {}, 0
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)

    def ip(self, number):
        return "%s.%d" % (self.net, number)

    def new_id(self):
        self.next_id += 1
        return "%016x" % (self.next_id + (os.getpid() << 24))

    def add_service(self, name, count, slots, work):
        zones = ["addis-bole", "addis-kirkos", "addis-yeka", "addis-arada"]
        self.services.append(name)
        for index in range(count):
            number = 100 + len(self.backends)
            self.backends.append(Backend(self, name, index, zones[index % 4], slots, work, (self.ip(number), self.backend_port)))

    def add_route(self, name, host, prefix, kind, service, timeout_ms, target_ms, priority, attempts=2):
        self.routes.append({"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout": "%dms" % timeout_ms,
                            "targetLatency": "%dms" % target_ms, "priority": priority, "service": service,
                            "maxAttempts": attempts})

    def publish(self, version):
        services = [{"name": n, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": False}
                    for n in self.services]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
        """Writes the configuration; the return is the acknowledgement."""
        self.store.put("op/config", json.dumps({"version": "%08x" % version, "routes": self.routes,
                                                "services": services, "limits": limits}))

    async def start(self):
        await self.store.start()
        self.publish(7)
        for backend in self.backends:
            await backend.start()
        for node in self.nodes:
            await node.start()
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all([await node.ready() for node in self.nodes]):
                break
        else:
            raise RuntimeError("the nodes did not become ready")
        await asyncio.sleep(4)  # Membership, and stabilityWindow after the starts.
        self.record.write("ready")

    def stop(self):
        self.stopped = True
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.kill()
                except ProcessLookupError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(record_path, scenario, nodes=3, seed=1, limit_s=115):
    """Runs a scenario. It returns a text if the rule was broken. Exit codes: 1 broken, 0 held, 2 did not run."""
    async def run():
        fleet = Fleet(record_path, nodes, seed)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(scenario(fleet), limit_s)
            fleet.record.write("result", broken=broken or "", trouble=TROUBLE)
            print(("BROKEN: " + broken) if broken else "held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            print("could not run: %r" % error)
            fleet.record.write("could_not_run", error=repr(error))
            return 2
        finally:
            fleet.stop()
            await asyncio.gather(*[n.process.wait() for n in fleet.nodes if n.process], return_exceptions=True)
    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)

"""Callers on kept connections that send each request when the response to the one before is due."""

import asyncio
import collections
import json
import random
import socket
import time

READ_BYTES = 64 * 1024
SLOW_READ_BYTES = 32 * 1024  # Size of one read of a slow caller, and of its receive buffer.
LAST_WAIT_S = 12.0  # Longest wait for responses after the last request of a run.
HEAD_PAUSE_S = 0.010  # Time between the first line of a head and the rest.
MAX_ON_THE_WAY = 4  # Requests that a caller of kind "several" has sent and not got a response to.
MAX_ATTEMPTS = 4  # Attempts of an unrepeatable request whose connection ended.

# How callers send and read. `answer_bytes`: smallest and largest response; 0 for a few bytes.
KINDS = {
    "whole": {},
    "split_head": {"split_head": True},
    "streamed": {"answer_bytes": (300_000, 900_000)},
    "slow_reader": {"answer_bytes": (600_000, 1_500_000), "slow": True},
    "several": {"several": True},
    "unrepeatable": {"keyed": True},
}


class Connection:
    """One connection, the requests on the way on it and how it ended."""

    def __init__(self, name, node, reader, writer):
        self.name, self.node, self.reader, self.writer = name, node, reader, writer
        self.on_the_way = collections.deque()
        self.close_announced_s = None
        self.end = None
        self.leaving = False
        self.bytes_behind_close = 0
        self.changed = asyncio.Event()

    def usable(self):
        return self.end is None and self.close_announced_s is None

    async def wait_change(self, timeout=None):
        try:
            await asyncio.wait_for(self.changed.wait(), timeout)
        except asyncio.TimeoutError:
            return
        self.changed.clear()


class Caller:
    """One caller with a home node, which it prefers when it connects. Every request leaves one record."""

    def __init__(self, name, kind, ports, home, pools, seed, until):
        self.name, self.kind, self.ports, self.home, self.pools, self.until = name, kind, ports, home, pools, until
        self.plan = KINDS[kind]
        self.random = random.Random("%d %s" % (seed, name))
        self.records, self.readers = [], []
        self.connections = self.requests = 0
        self.path_s = 0.004  # Estimate of the time that a request takes beside its work.

    async def run(self):
        while time.time() < self.until:
            connection = await self.connect()
            if not connection:
                continue
            if self.plan.get("several"):
                await self.send_at_random_times(connection)
            else:
                await self.send_when_due(connection)
            if not self.plan.get("keyed"):
                continue
            await asyncio.wait(self.readers, timeout=LAST_WAIT_S)
            for record in [r for r in self.records if r["connection"] == connection.name and not r["status"]]:
                await self.send_again(record)
        if self.readers:
            await asyncio.wait(self.readers, timeout=LAST_WAIT_S)
        for task in self.readers:
            task.cancel()

    async def connect(self):
        others = [i for i in range(len(self.ports)) if i != self.home]
        self.random.shuffle(others)
        for node in [self.home] + others:
            handle = socket.socket()
            handle.setblocking(False)
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.plan.get("slow"):
                handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
            try:
                await asyncio.get_running_loop().sock_connect(handle, ("127.0.0.1", self.ports[node]))
                limit = SLOW_READ_BYTES // 2 if self.plan.get("slow") else READ_BYTES
                reader, writer = await asyncio.open_connection(sock=handle, limit=limit)
            except OSError:
                handle.close()
                continue
            self.connections += 1
            connection = Connection("%s/%d" % (self.name, self.connections), node, reader, writer)
            self.readers = [task for task in self.readers if not task.done()]
            self.readers.append(asyncio.ensure_future(self.read_responses(connection)))
            return connection
        await asyncio.sleep(0.02)
        return None

    async def send(self, connection, repeated=None):
        """Sends one request and returns its record. `repeated` is the record of an attempt that got no response."""
        self.requests += 1
        if repeated:
            record = dict(repeated, attempt=repeated["attempt"] + 1)
        else:
            pool = self.random.choice(self.pools)
            what = "file" if self.plan.get("keyed") else "read"
            target = "/%s/%s/%s-%d" % (pool, what, self.name, self.requests)
            record = {"kind": self.kind, "target": target, "attempt": 1,
                      "work_ms": round(self.random.uniform(50, 500), 1),
                      "answer_bytes": self.random.randint(*self.plan.get("answer_bytes", (0, 0)))}
        record.update(connection=connection.name, node=connection.node, before=len(connection.on_the_way),
                      sent_s=time.time(), whole_s=None, head_s=None, status=0, answered_s=None, closes=False,
                      close_announced_s=None, bytes_behind_close=0, ended_s=None, end=None)
        self.records.append(record)
        connection.on_the_way.append(record)
        first = "%s %s HTTP/1.1\r\n" % ("POST" if self.plan.get("keyed") else "GET", record["target"])
        rest = "Host: crossing\r\nWork-Ms: %s\r\n" % record["work_ms"]
        if record["answer_bytes"]:
            rest += "Answer-Bytes: %d\r\n" % record["answer_bytes"]
        if self.plan.get("keyed"):
            rest += "Idempotency-Key: %s\r\nContent-Length: 100\r\n\r\n%s" % (record["target"], "x" * 100)
        else:
            rest += "\r\n"
        if self.plan.get("split_head"):
            connection.writer.write(first.encode())
            await asyncio.sleep(HEAD_PAUSE_S)
            first = ""
        connection.writer.write((first + rest).encode())
        record["whole_s"] = time.time()
        return record

    async def send_when_due(self, connection):
        """Sends each request at the time at which the response to the one before is due, until the connection ends."""
        while connection.usable() and time.time() < self.until:
            record = await self.send(connection)
            while len(connection.on_the_way) > 1 and connection.usable():
                await connection.wait_change(LAST_WAIT_S)
            due = record["whole_s"] + record["work_ms"] / 1000.0
            if self.plan.get("slow"):
                due += self.path_s + self.random.uniform(0, 0.3)
            elif self.random.random() < 0.5:
                due += self.random.uniform(0, 0.012)
            else:
                due += self.path_s + self.random.uniform(-0.0015, 0.001)
            if self.plan.get("split_head"):
                due -= self.random.choice((HEAD_PAUSE_S, self.random.uniform(0, HEAD_PAUSE_S)))
            while connection.on_the_way and connection.usable() and time.time() < due:
                await connection.wait_change(due - time.time())
            if not connection.on_the_way and connection.node != self.home and self.random.random() < 0.3:
                break  # Goes back to its home node.
        self.leave_when_idle(connection)

    async def send_at_random_times(self, connection):
        while connection.usable() and time.time() < self.until:
            if len(connection.on_the_way) < MAX_ON_THE_WAY:
                await self.send(connection)
            await asyncio.sleep(self.random.expovariate(1 / 0.1))
            if not connection.on_the_way and connection.node != self.home:
                break
        self.leave_when_idle(connection)

    async def send_again(self, record):
        while record["attempt"] < MAX_ATTEMPTS and not record["status"]:
            connection = await self.connect()
            if not connection:
                continue
            record = await self.send(connection, record)
            while connection.on_the_way and connection.usable():
                await connection.wait_change(LAST_WAIT_S)
            self.leave_when_idle(connection)

    def leave_when_idle(self, connection):
        if connection.end is None and not connection.on_the_way:
            connection.writer.close()
        connection.leaving = True

    async def read_responses(self, connection):
        """Takes responses up to the one that announces the close, then reads on to see how the connection ends."""
        try:
            while True:
                if self.plan.get("slow") and connection.on_the_way:
                    await asyncio.sleep(self.random.uniform(0, 0.3))
                head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                if connection.close_announced_s:
                    connection.bytes_behind_close += len(head)
                    break
                await self.read_response(connection, head)
                if connection.close_announced_s and not connection.on_the_way:
                    break
                if not connection.on_the_way and connection.leaving:
                    break
            while connection.close_announced_s and connection.on_the_way:
                data = await connection.reader.read(READ_BYTES)
                connection.bytes_behind_close += len(data)
                if not data:
                    break
            connection.end = "closed"
        except asyncio.IncompleteReadError as error:
            connection.end = "broken off" if error.partial else "closed"
        except OSError as error:
            connection.end = type(error).__name__
        except asyncio.CancelledError:
            connection.end = "open at the end of the run"
        connection.changed.set()
        for record in connection.on_the_way:
            record.update(end=connection.end, ended_s=time.time(), bytes_behind_close=connection.bytes_behind_close,
                          close_announced_s=connection.close_announced_s)
        connection.writer.close()

    async def read_response(self, connection, head):
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        connection.on_the_way[0]["head_s"] = time.time()
        if fields.get("connection") == "close":
            connection.close_announced_s = time.time()
            connection.changed.set()
        if "content-length" in fields:
            await self.read_body(connection, int(fields["content-length"]))
        while fields.get("transfer-encoding") == "chunked":
            size = int((await connection.reader.readuntil(b"\r\n")).split(b";")[0], 16)
            await self.read_body(connection, size)
            await connection.reader.readexactly(2)
            if size == 0:
                break
        record = connection.on_the_way.popleft()
        record.update(status=int(head.split(" ")[1]), answered_s=time.time(), end="answered",
                      closes=fields.get("connection") == "close")
        if record["status"] == 200 and record["before"] == 0:
            self.path_s += 0.2 * (min(0.05, record["head_s"] - record["whole_s"] - record["work_ms"] / 1000.0) -
                                  self.path_s)
        connection.changed.set()

    async def read_body(self, connection, size):
        piece = SLOW_READ_BYTES if self.plan.get("slow") else READ_BYTES
        while size > 0:
            data = await connection.reader.read(min(size, piece))
            if not data:
                raise asyncio.IncompleteReadError(b"body", None)
            size -= len(data)
            if self.plan.get("slow"):
                await asyncio.sleep(self.random.uniform(0, 0.008))


def run_callers(kind, count, ports, pools, seed, until, path):
    """Runs the callers of one kind until the given time and writes their records, one JSON object a line."""
    async def run_all():
        callers = [Caller("%s-%d" % (kind, i), kind, ports, i % len(ports), pools, seed, until) for i in range(count)]
        await asyncio.gather(*[caller.run() for caller in callers])
        with open(path, "w") as file:
            for caller in callers:
                for record in caller.records:
                    file.write(json.dumps(record) + "\n")

    asyncio.run(run_all())

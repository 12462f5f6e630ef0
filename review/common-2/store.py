"""Stand-in of the platform's metadata store. Each machine reaches it at an address of its own."""

import asyncio
import base64
import json
import time
import urllib.parse

from http1 import read_body, read_head, response_bytes

ANSWER_TIME = 0.004


class Store:
    def __init__(self):
        self.revision = 10
        self.items = {}    # key: (value bytes, revision, created, lease)
        self.changes = []  # (revision, key, removed)
        self.leases = {}   # id: (expiry, ttl)
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.servers = []
        self.silent = set()    # Machines that get no response.
        self.watching = {}     # machine: {prefix: number of watches that wait}
        self.calls = []        # (time, machine, method and target)

    async def listen(self, machine, address, port):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)
        self.servers.append(await asyncio.start_server(serve, address, port))

    def put(self, key, value, lease=0):
        """Writes a key; the return is the acknowledgement."""
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (raw, self.revision, created, lease)
        self.changes.append((self.revision, key, False))
        self.notify()
        return time.monotonic()

    def remove(self, key):
        if key not in self.items:
            return time.monotonic()
        self.revision += 1
        del self.items[key]
        self.changes.append((self.revision, key, True))
        self.notify()
        return time.monotonic()

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def machines_that_watch(self, prefix):
        return sorted(m for m, prefixes in self.watching.items() if prefixes.get(prefix, 0) > 0)

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": lease}

    def events(self, prefix, after):
        events = []
        for revision, key, removed in self.changes:
            if revision <= after or not key.startswith(prefix):
                continue
            if removed:
                events.append({"key": key, "revision": revision, "tombstone": True})
            elif key in self.items and self.items[key][1] == revision:
                events.append(self.item(key))
        return events

    def expire_leases(self):
        now = time.monotonic()
        for lease in [i for i, (expiry, _) in self.leases.items() if expiry < now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item[3] == lease]:
                self.remove(key)

    async def watch(self, machine, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        waiting = self.watching.setdefault(machine, {})
        waiting[prefix] = waiting.get(prefix, 0) + 1
        try:
            while not self.events(prefix, after) and time.monotonic() < end:
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        finally:
            waiting[prefix] -= 1
        return 200, {"events": self.events(prefix, after)}

    async def answer(self, machine, request):
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/api/kv-watch":
            return await self.watch(machine, query)
        self.expire_leases()
        if path == "/api/kv-key":
            return (200, self.item(query["key"])) if query["key"] in self.items else (404, {})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]], "hasMore": len(keys) > 500}
        if path == "/api/kv-lease":
            ttl = float(json.loads(request.body)["ttl_time"].removesuffix("ms")) / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self.next_lease, "ttl_time": "%dms" % (ttl * 1000)}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {}
        if path == "/api/kv-txn":
            transaction = json.loads(request.body)
            for row in transaction.get("expectedRevision", []):
                held = self.items.get(row["key"])
                if (held[1] if held else 0) != row["revision"]:
                    return 412, {"items": []}
            if any(put.get("lease") and put["lease"] not in self.leases for put in transaction.get("puts", [])):
                return 404, {}
            for put in transaction.get("puts", []):
                self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in transaction.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def serve(self, machine, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                self.calls.append((time.monotonic(), machine, "%s %s" % (request.method, request.target)))
                unanswered = machine in self.silent
                await asyncio.sleep(ANSWER_TIME)
                status, body = await self.answer(machine, request)
                if unanswered or machine in self.silent:
                    # A connection on which a response is lost returns nothing further.
                    while await reader.read(4096):
                        pass
                    break
                body["currentRev"] = self.revision
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(response_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

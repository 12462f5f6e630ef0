"""Stand-in of a backend: registers itself in the store and runs requests."""

import asyncio
import time

from http1 import read_body, read_head, response_bytes


class Backend:
    """One backend. `runs` of the deployment gets an entry for each request that it begins to run."""

    def __init__(self, deployment, identity, service, zone, address, port, slots=4, work_s=0.02):
        self.deployment, self.identity, self.service, self.zone = deployment, identity, service, zone
        self.address, self.port, self.slots, self.work_s = address, port, slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.leaving = 1, "ready", False
        self.extra_headers = []
        self.server, self.writers = None, set()
        self.slot = asyncio.Semaphore(slots)

    def entry(self):
        return {"address": "%s:%d" % (self.address, self.port), "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldRemaining": "0ms"}}

    def register(self):
        """Writes the entry; the return is the time of the acknowledgement."""
        self.sequence += 1
        return self.deployment.store.put("servers/" + self.identity, self.entry())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.register()

    def drain(self):
        self.state, self.leaving = "draining", True
        return self.register()

    def stop(self):
        """Ends the process of the backend: its connections break off and its port refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                await self.answer(request, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        headers = [("X-Fescueramp-Request-Id", request.get("x-fescueramp-request-id")),
                   ("Keep-Alive", "timeout=10")] + self.extra_headers
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if request.target == "/health":
            writer.write(response_bytes(503 if self.leaving else 200, [("X-Fescueramp-Instance-Id", self.identity)]))
            return await writer.drain()
        expected = request.get("x-fescueramp-expect-instance")
        if expected and expected != self.identity:
            headers.append(("X-Fescueramp-Instance-Id", self.identity))
            writer.write(response_bytes(421, headers))
            return await writer.drain()
        self.deployment.arrived(self, request)
        async with self.slot:
            self.deployment.ran(self, request)
            await asyncio.sleep(self.work_s)
        body = ("%s ran %s %s\n" % (self.identity, request.method, request.target)).encode()
        headers.append(("X-Fescueramp-Response-Seal", "seal-" + request.get("x-fescueramp-request-id")))
        writer.write(response_bytes(200, headers, body, without_body=request.method == "HEAD"))
        await writer.drain()

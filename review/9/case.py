"""Clients ask with HEAD on kept connections while the operator removes a route."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from deployment import HOST, run_case, route
from http1 import read_body, read_head, request_bytes

MACHINES = 4
CONFIG_APPLY_S = 2.0  # configApply
ROUNDS = 10
SERVICE = "records"


class KeptConnection:
    """A client's connection: each request is sent when the answer to the one before it has been read."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self.reader = self.writer = None

    async def request(self, method, target):
        """Returns the problem that the client has with what it gets; empty if there is none."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.machine.address, 8381)
        request_id = self.deployment.request_id()
        self.deployment.record("sent     %s to %s: %s %s" % (request_id, self.machine.name, method, target))
        self.writer.write(request_bytes(method, target, HOST, [("X-Fescueramp-Request-Id", request_id),
                                                               ("X-Fescueramp-Deadline-Ms", "1500")]))
        message = await asyncio.wait_for(read_head(self.reader), 3)
        if message is None:
            self.writer = None
            return ""
        self.deployment.record("answered %s by %s: %s" % (request_id, self.machine.name, message.first_line[:160]))
        if not message.first_line.startswith("HTTP/1.1 "):
            self.writer.close()
            self.writer = None
            return "%s %s got bytes that are no answer: %r" % (method, target, message.first_line[:120])
        # An answer to HEAD has no body, whatever length its head names (RFC 9110, 9.3.2).
        if method != "HEAD":
            await read_body(self.reader, message)
        problem = ""
        if message.get("x-fescueramp-request-id") != request_id:
            problem = "%s %s got the answer to another request" % (method, target)
        if message.get("connection").lower() == "close":
            self.writer.close()
            self.writer = None
        return problem


async def play(deployment):
    for index in range(4):
        await deployment.add_backend(SERVICE, index)
    kept, removed = route("r-kept", "/reports/", SERVICE), route("r-removed", "/archive/", SERVICE)
    deployment.write_config([kept, removed], [SERVICE])
    await deployment.start()
    await asyncio.sleep(2)
    connections = [KeptConnection(deployment, machine) for machine in deployment.machines]
    problems = []

    async def ask(connection, number):
        for method, target in (("HEAD", "/archive/%d" % number), ("GET", "/reports/%d" % number)):
            problem = await connection.request(method, target)
            if problem:
                problems.append(problem)
                deployment.say("%s: %s" % (connection.machine.name, problem))
    for number in range(ROUNDS):
        if number == ROUNDS // 2 and deployment.trouble:
            deployment.write_config([kept], [SERVICE])
            await asyncio.sleep(CONFIG_APPLY_S)
        for connection in connections:
            await ask(connection, number)
    deployment.say("%d of %d requests on kept connections got what isn't their answer" %
                   (len(problems), 2 * ROUNDS * MACHINES))
    return bool(problems)


run_case(HERE, MACHINES, play)

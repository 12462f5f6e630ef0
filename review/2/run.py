"""Processes are killed and restarted shortly after the configuration made part of an idempotent route non-idempotent."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import fleet as fleets  # pylint: disable=wrong-import-position

CONFIG_APPLY_S = 2.0
MARGIN_S = 0.2
STALE_READS_S = 3.0  # A read with `serializable` may be seconds old.
KILLED_SHARE = 0.55
RESTART_DELAY_S = 0.2
NODES, CLIENTS, LOAD_S = 5, 50, 85


def work_time(generator):
    """status-check of the Authority's sheet: mean 170 ms, and one in 33 takes seven times as long."""
    return lambda method, path: min(1.8, generator.lognormvariate(-2.09, 0.8) * (7 if generator.random() < 0.03 else 1))


class Operator:
    """Adds one non_idempotent route after the other under the idempotent route /api/."""

    def __init__(self, fleet):
        self.fleet, self.version, self.acknowledged = fleet, 0, 0.0

    def add_route(self):
        self.version += 1
        self.fleet.add_route("pay%d" % self.version, "grants.example", "/api/pay%d/" % self.version, "non_idempotent",
                             "grants", 1500, 600, 1)
        self.fleet.publish(16 + self.version)
        self.acknowledged = self.fleet.record.now()
        self.fleet.record.write("non_idempotent_route_added", version=self.version)

    def payable(self):
        """Whether the newest route is in force by `configApply`."""
        return self.version > 0 and self.fleet.record.now() > self.acknowledged + CONFIG_APPLY_S + MARGIN_S


async def client(fleet, operator, node, number, until):
    """Every other client pays by the newest route as soon as it must be in force; the others read."""
    connection = fleets.Connection(fleet, node)
    count = 0
    while fleet.record.now() < until:
        count += 1
        if number % 2 and operator.payable():
            path = "/api/pay%d/%d-%d" % (operator.version, number, count)
            answer = await connection.send("POST", "grants.example", path, 1500, b"x" * 300)
        else:
            answer = await connection.send("GET", "grants.example", "/api/status/%d-%d" % (number, count), 1500)
        await asyncio.sleep(fleet.random.uniform(0.02, 0.1) if answer else 0.01)


async def kill_and_restart(fleet):
    """herd_kill: many processes are killed at the same moment, and restarted after a short delay."""
    nodes = fleet.random.sample(fleet.nodes, int(len(fleet.nodes) * KILLED_SHARE))
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        await node.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    for node in nodes:
        await node.start()


async def scenario(fleet):
    fleet.store.stale_s = STALE_READS_S
    fleet.add_service("grants", 12, 2, work_time(random.Random(5)))
    fleet.add_route("api", "grants.example", "/api/", "idempotent", "grants", 1500, 600, 2)
    await fleet.start()
    operator = Operator(fleet)
    until = fleet.record.now() + LOAD_S
    tasks = [asyncio.ensure_future(client(fleet, operator, fleet.nodes[i % NODES], i, until)) for i in range(CLIENTS)]
    await asyncio.sleep(8)
    while fleet.record.now() < until - 6:
        operator.add_route()
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        if fleets.TROUBLE:
            await kill_and_restart(fleet)
        await asyncio.sleep(3)
    await asyncio.gather(*tasks)
    payments = [request for request, result in fleet.requests.items() if result["method"] == "POST"]
    twice = [request for request in payments if len(fleet.runs.get(request, [])) > 1]
    fleet.record.write("summary", payments=len(payments), twice=twice)
    print("payments: %d, run more than once: %d" % (len(payments), len(twice)))
    return "TWICE: %d of %d payments ran more than once" % (len(twice), len(payments)) if twice else ""


fleets.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), scenario, nodes=NODES)

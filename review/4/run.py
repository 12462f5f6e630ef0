"""Backends go down and up by turns while many clients ask for the same path of an idempotent route."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import fleet as fleets  # pylint: disable=wrong-import-position

CLIENTS = 34
LOAD_S = 95
MAX_LOST = 3  # LOST: more than three times.


def work_time(generator):
    """case-archive of the Authority's sheet: mean 530 ms, and one in 33 takes seven times as long."""
    return lambda method, path: min(5.6, generator.lognormvariate(-0.955, 0.8) * (7 if generator.random() < 0.03 else 1))


async def client(fleet, node, until):
    connection = fleets.Connection(fleet, node)
    while fleet.record.now() < until:
        await connection.send("GET", "archive.example", "/archive/today", 4000)
        await asyncio.sleep(fleet.random.uniform(0.1, 0.5))


async def flap(fleet, until):
    """srv_flap with share 0.15, for_s 6.5 and gap_s 0.81, again and again."""
    while fleet.record.now() + 6.5 < until:
        backends = fleet.random.sample(fleet.backends, int(len(fleet.backends) * 0.15))
        end = fleet.record.now() + 6.5
        while fleet.record.now() < end:
            for backend in backends:
                await backend.crash()
            await asyncio.sleep(0.81)
            for backend in backends:
                await backend.start()
            await asyncio.sleep(0.81)
        await asyncio.sleep(1)


async def scenario(fleet):
    fleet.add_service("records", 20, 2, work_time(random.Random(5)))
    fleet.add_route("archive", "archive.example", "/archive/", "idempotent", "records", 4000, 1500, 2, 3)
    await fleet.start()
    until = fleet.record.now() + LOAD_S
    tasks = [client(fleet, fleet.nodes[i % len(fleet.nodes)], until) for i in range(CLIENTS)]
    if fleets.TROUBLE:
        tasks.append(flap(fleet, until))
    await asyncio.gather(*tasks)
    ends = {node.name: node.own_ends for node in fleet.nodes if node.own_ends}
    lost = [request for request in fleet.requests if is_lost(fleet, request)]
    fleet.record.write("summary", own_ends=ends, lost=lost, requests=len(fleet.requests))
    print("processes that ended by themselves:", ends)
    print("requests of kept connections at sound backends whose connection closed without an answer:", len(lost))
    return "LOST: %d requests, processes ended by themselves: %s" % (len(lost), ends) if len(lost) > MAX_LOST else ""


def is_lost(fleet, request):
    """Whether it came on a kept connection, was passed on to a sound backend, and the connection closed without an answer."""
    result = fleet.requests[request]
    if not result["kept"] or result["answer"] or result["why"] == "timeout":
        return False
    return any(backend.sound_throughout(result["sent"], result["ended"]) for _, backend, _, _ in fleet.runs.get(request, []))


fleets.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), scenario)

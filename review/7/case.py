"""Half of the backends of a service are replaced; then the machine that places its requests is stopped as planned."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from deployment import CannotRun, run_case, route

MACHINES = 8
BACKENDS = 8
RELEASED = 4          # Half of the backends are replaced, one at a time.
GAP_S = 1.0
DRAIN_S = 2.0         # drain
STOP_AFTER_S = 3.0    # Time from the last report of a leaving backend until the machine is stopped.
EXIT_AFTER_S = 0.15   # The old backends exit so long after the stop began, 3 to 6 s after their reports.
REQUEST_PERIOD_S = 0.01
SERVICE = "payout"


async def send_steadily(deployment, results, stopped):
    """Sends requests to all machines in turn, but to none that is being stopped."""
    tasks, turn = set(), 0

    async def send(machine):
        results.append(await deployment.request(machine, "/disburse/%d" % turn, method="POST", body=b"amount=1"))
    while True:
        machine = deployment.machines[turn % MACHINES]
        turn += 1
        if machine in stopped:
            continue
        task = asyncio.create_task(send(machine))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_PERIOD_S)


async def find_dispatcher(deployment):
    """Returns the machine that follows the list of backends, once those that did so while they joined have ended."""
    end = time.monotonic() + 60
    while time.monotonic() < end:
        watching = deployment.store.machines_that_watch("servers/")
        if len(watching) == 1:
            return next(m for m in deployment.machines if m.name == watching[0])
        await asyncio.sleep(0.5)
    raise CannotRun("more than one machine follows the list of backends")


async def release(deployment):
    """Replaces backends one at a time; returns when each of the old ones reported that it drains."""
    left = {}
    for index in range(RELEASED):
        old = deployment.backends[index]
        new = await deployment.add_backend(SERVICE, BACKENDS + index, slots=6, work_s=0.14)
        old.drain()
        left[old] = deployment.now()
        deployment.say("%s is there; %s reports draining, acknowledged" % (new.identity, old.identity))
        if index + 1 < RELEASED:
            await asyncio.sleep(GAP_S)
    return left


async def play(deployment):
    for index in range(BACKENDS):
        await deployment.add_backend(SERVICE, index, slots=6, work_s=0.14)
    deployment.write_config([route("r-disburse", "/disburse/", SERVICE, kind="non_idempotent")], [SERVICE])
    await deployment.start()
    results, stopped = [], set()
    load = asyncio.create_task(send_steadily(deployment, results, stopped))
    dispatcher = await find_dispatcher(deployment)
    left = await release(deployment)
    await asyncio.sleep(STOP_AFTER_S)
    if deployment.trouble:
        stopped.add(dispatcher)
        dispatcher.process.send_signal(signal.SIGTERM)
        deployment.say("%s gets SIGTERM" % dispatcher.name)
    await asyncio.sleep(EXIT_AFTER_S)
    for backend in left:
        backend.stop()
    deployment.say("the backends that reported draining have exited")
    await asyncio.sleep(5)
    load.cancel()
    await asyncio.sleep(1)

    late = [(at - left[backend], backend, request_id) for at, backend, request_id, _, _ in deployment.arrivals
            if backend in left and at > left[backend] + DRAIN_S]
    for after, backend, request_id in late:
        deployment.say("%s reached %s %.2f s after the acknowledgement" % (request_id, backend.identity, after))
    broken_off = {request_id for _, _, request_id in late}
    unknown = [answer.status for request_id, _, answer in results
               if request_id in broken_off and answer.status != 200]
    deployment.say("%d of %d payments answered with 200; of those that came late, %d had no success, with statuses %s" %
                   (sum(1 for _, _, answer in results if answer.status == 200), len(results), len(unknown), unknown))
    return bool(late)


run_case(HERE, MACHINES, play)

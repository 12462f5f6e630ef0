"""Scenarios by name, and what several of them use."""

import os
import tempfile
import time

from fleet import Fleet, http, pool_objects

SCENARIOS = {}
POLICIES = os.environ.get("FESCUE_POLICIES", "fair,baseline").split(",")
WORK = tempfile.mkdtemp(prefix="fescueramp-bench-")


def scenario(function):
    SCENARIOS[function.__name__] = function
    return function


def one_pool_objects(pool, priorities=None, routes=None, floor=0.5):
    """Set with one service on one pool."""
    objects = pool_objects([pool])
    objects["services"] = {pool.name: {"pool": pool.name, "floor": floor}}
    objects["priorities"] = priorities or {
        "filing": {"rank": 0, "max_wait_ms": 1000}, "read": {"rank": 1, "max_wait_ms": 300},
        "archive": {"rank": 5, "max_wait_ms": 60000}}
    base = {"service": pool.name, "deadline_ms": 10000}
    objects["routes"] = routes or {
        "read": dict(base, method="GET", path_prefix="/read", priority="read"),
        "file": dict(base, method="POST", path_prefix="/file", priority="filing", repeatable=False),
        "archive": dict(base, method="GET", path_prefix="/archive", priority="archive", deadline_ms=60000)}
    return objects


def run_fleet(name, policy, objects, pools, nodes=8, **more):
    return Fleet(os.path.join(WORK, name + "-" + policy), nodes=nodes, pools=pools, policy=policy, **more)


def start_published(fleet, objects):
    status, body = fleet.publish(objects)
    if status != 200:
        raise RuntimeError("publish: %s" % body)
    fleet.wait_revision(body["revision"])


def log_time(line):
    """Seconds of the day of a glog line."""
    hours, minutes, seconds = line.split()[1].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def ejections(fleet):
    """All ejections in the logs of all nodes: time of day, endpoint."""
    found = []
    for index in range(fleet.count):
        with open(os.path.join(fleet.work, fleet.name(index) + ".log")) as file:
            for line in file:
                if " is ejected: " in line:
                    found.append((log_time(line), line.split("endpoint ")[1].split(" of ")[0]))
    return sorted(found)


def day_time():
    now = time.time()
    return now % 86400


def process_cost(fleet, index):
    """Processor seconds, resident MB and gossip bytes of a node's process."""
    pid = fleet.processes[fleet.name(index)].pid
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / float(os.sysconf("SC_CLK_TCK"))
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    bytes_sent = 0
    for line in http("GET", fleet.admin(index), "/metrics")[1].splitlines():
        if line.startswith("fescueramp_node{name=\"gossip_bytes_"):
            bytes_sent += float(line.rsplit(" ", 1)[1])
    return cpu, resident, bytes_sent

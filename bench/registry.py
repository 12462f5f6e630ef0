"""Registry of scenarios by name, and helper functions that several scenarios share."""

import os
import tempfile
import time

from fleet import Fleet, http_request, pool_objects

SCENARIOS = {}
POLICIES = os.environ.get("FESCUE_POLICIES", "fair,baseline").split(",")
WORK_DIR = tempfile.mkdtemp(prefix="fescueramp-bench-")


def scenario(function):
    SCENARIOS[function.__name__] = function
    return function


def one_pool_objects(pool, priorities=None, routes=None, floor=0.5):
    """Returns an object set with one service on one pool."""
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
    return Fleet(os.path.join(WORK_DIR, name + "-" + policy), nodes=nodes, pools=pools, policy=policy, **more)


def start_published(fleet, objects):
    status, body = fleet.publish(objects)
    if status != 200:
        raise RuntimeError("publish: %s" % body)
    fleet.wait_revision(body["revision"])


def log_time_of_day(line):
    """Returns the time of day of a glog line, s since midnight."""
    hours, minutes, seconds = line.split()[1].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def read_ejections(fleet):
    """Returns the ejections in the logs of all nodes as sorted pairs of time of day and endpoint."""
    found = []
    for index in range(fleet.count):
        with open(os.path.join(fleet.work_dir, fleet.node_name(index) + ".log")) as file:
            for line in file:
                if " is ejected: " in line:
                    found.append((log_time_of_day(line), line.split("endpoint ")[1].split(" of ")[0]))
    return sorted(found)


def time_of_day():
    # Seconds since midnight UTC.
    now = time.time()
    return now % 86400


def process_cost(fleet, index):
    """Returns the CPU time in s, resident memory in MB and gossip bytes of a node's process."""
    pid = fleet.processes[fleet.node_name(index)].pid
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / float(os.sysconf("SC_CLK_TCK"))
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    bytes_sent = 0
    for line in http_request("GET", fleet.admin_port(index), "/metrics")[1].splitlines():
        if line.startswith("fescueramp_node{name=\"gossip_bytes_"):
            bytes_sent += float(line.rsplit(" ", 1)[1])
    return cpu, resident, bytes_sent

"""Starts, controls and stops a fleet and the simulated services around it on loopback."""

import hashlib
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("FESCUE_BUILD", os.path.join(ROOT, "build"))
LINK_KEY = "example-link-key-0001"
RECEIPT_KEY = "example-receipt-key-0001"
OPERATOR_TOKEN = "example-operator-token"
# Added to every port, so that runs with different shifts can run concurrently.
PORT_SHIFT = int(os.environ.get("FESCUE_PORT_SHIFT", "0"))
READER_TOKEN = "example-reader-token"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http_request(method, port, path, body=None, token=None, timeout=10):
    """Sends one request to loopback and returns the status and the body as text."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request("http://127.0.0.1:%d%s" % (port, path), data=data, method=method)
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Pool:
    """Endpoints of one pool, all simulated by one process."""

    def __init__(self, name, count, slots, base_port, connections=330):
        self.name, self.count, self.slots, self.base_port = name, count, slots, base_port + PORT_SHIFT
        self.control_port = self.base_port + 90
        self.connections = connections

    def endpoint(self, index):
        return "%s-%d" % (self.name, index)


class Fleet:
    """Nodes, platform and endpoints of one run. Used as a context manager that starts and stops them."""

    def __init__(self, work_dir, nodes=4, pools=(), base_port=21000, policy="fair", zones=4, settings=None,
                 link_cutters=False, seed=1):
        self.work_dir, self.count, self.pools = work_dir, nodes, list(pools)
        self.base_port, self.policy, self.zones, self.seed = base_port + PORT_SHIFT, policy, zones, seed
        self.extra_settings, self.link_cutters = settings or {}, link_cutters
        self.platform_port = self.base_port + 900
        self.cutter_control_port = self.base_port + 901
        self.processes = {}
        self.paused = set()
        os.makedirs(work_dir, exist_ok=True)

    # The ports of node `index`. cutter_port() is the port on which the link cutter forwards to it.
    def caller_port(self, index):
        return self.base_port + index * 4

    def link_port(self, index):
        return self.base_port + index * 4 + 1

    def gossip_port(self, index):
        return self.base_port + index * 4 + 2

    def admin_port(self, index):
        return self.base_port + index * 4 + 3

    def cutter_port(self, index):
        return self.base_port + 600 + index

    def node_name(self, index):
        return "n%d" % index

    def start_process(self, name, command):
        log = open(os.path.join(self.work_dir, name + ".log"), "a")
        process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        return process

    def binary(self, name):
        return os.path.join(BUILD, name)

    def node_settings(self, index):
        seeds = [{"address": "127.0.0.1", "port": self.cutter_port(i) if self.link_cutters else self.gossip_port(i)}
                 for i in range(min(3, self.count)) if i != index]
        settings = {
            "node": self.node_name(index), "zone": "az%d" % (index % self.zones), "address": "127.0.0.1",
            "caller_port": self.caller_port(index), "link_port": self.link_port(index),
            "gossip_port": self.gossip_port(index), "admin_port": self.admin_port(index),
            "platform": {"address": "127.0.0.1", "port": self.platform_port},
            "seeds": seeds, "link_keys": [LINK_KEY], "receipt_keys": [RECEIPT_KEY],
            "operators": [{"name": "operator", "token_sha256": sha256(OPERATOR_TOKEN), "role": "publish"},
                          {"name": "reader", "token_sha256": sha256(READER_TOKEN), "role": "read"}],
            "policy": self.policy,
        }
        if self.link_cutters:
            settings["advertised_link_port"] = self.cutter_port(index)
            settings["advertised_gossip_port"] = self.cutter_port(index)
        if os.environ.get("FESCUE_TRACE"):
            settings["trace_file"] = os.path.join(self.work_dir, self.node_name(index) + ".trace")
        settings.update(self.extra_settings)
        return settings

    def write_settings(self, index, **changes):
        """Writes the settings file of a node and returns its path."""
        path = os.path.join(self.work_dir, self.node_name(index) + ".json")
        settings = self.node_settings(index)
        settings.update(changes)
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def start_node(self, index, **changes):
        path = self.write_settings(index, **changes)
        return self.start_process(self.node_name(index), [self.binary("fescued"), "--settings", path])

    def start_platform(self):
        self.start_process("platform", [self.binary("platform_stand_in"), "--port", str(self.platform_port)])

    def start_pool(self, pool):
        self.start_process("pool-" + pool.name, [
            self.binary("endpoint_stand_in"), "--base-port", str(pool.base_port), "--control-port",
            str(pool.control_port), "--count", str(pool.count), "--slots", str(pool.slots), "--log",
            os.path.join(self.work_dir, "runs-%s.jsonl" % pool.name), "--seed", str(self.seed)])

    def start_link_cutter(self):
        pairs = ["%d:%d:%d" % (self.cutter_port(i), self.link_port(i), self.gossip_port(i)) for i in range(self.count)]
        self.start_process("cutter", [
            self.binary("link_cutter_stand_in"), "--control-port", str(self.cutter_control_port)] + pairs)

    def __enter__(self):
        try:
            self.start_platform()
            for pool in self.pools:
                self.start_pool(pool)
            if self.link_cutters:
                self.start_link_cutter()
            time.sleep(0.2)
            for index in range(self.count):
                self.start_node(index)
            self.wait_members()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for name in list(self.paused):
            self.resume(name)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def pause(self, name):
        self.paused.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.paused.discard(name)
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def status(self, index):
        return json.loads(http_request("GET", self.admin_port(index), "/v1/status", token=OPERATOR_TOKEN)[1])

    def wait_members(self, seconds=20):
        """Waits until every node sees all nodes as alive."""
        deadline = time.time() + seconds
        while time.time() < deadline:
            try:
                alive_counts = [sum(m["state"] == "alive" for m in self.status(i)["members"])
                                for i in range(self.count)]
                if min(alive_counts) == self.count:
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.1)
        raise RuntimeError("the nodes did not all discover each other in time")

    def publish(self, objects, node=0, base=None, publish_id=None):
        text = objects if isinstance(objects, str) else json.dumps(objects)
        if base is None:
            base = self.status(node)["revision"]
        publish_id = publish_id or "p%d-%f" % (base, time.time())
        status, body = http_request("POST", self.admin_port(node),
                                    "/v1/publish?base=%d&publish_id=%s" % (base, publish_id), text,
                                    token=OPERATOR_TOKEN, timeout=30)
        return status, json.loads(body)

    def wait_revision(self, revision, seconds=16, nodes=None):
        """Waits until the revision is in force on the nodes and returns the time in s that each node took."""
        start, times = time.time(), {}
        nodes = range(self.count) if nodes is None else nodes
        while time.time() - start < seconds:
            for index in nodes:
                try:
                    if index not in times and self.status(index)["revision"] >= revision:
                        times[index] = time.time() - start
                except OSError:
                    continue  # The node is still starting.
            if len(times) == len(list(nodes)):
                return times
            time.sleep(0.02)
        raise RuntimeError("revision %d is not in force on %s" % (revision, sorted(set(nodes) - set(times))))

    def control_platform(self, **command):
        http_request("POST", self.platform_port, "/control", json.dumps(command))

    def counters(self):
        return json.loads(http_request("GET", self.platform_port, "/counters")[1])

    def endpoint_faults(self, pool, index, **faults):
        http_request("POST", pool.control_port, "/", json.dumps({"endpoint": index, "faults": faults}))

    def set_link_fault(self, index, fault):
        """Sets the fault on the links to a node's advertised port: "to" and "from" drop the traffic in that direction,
        "both" in both, "silent" makes the open connections unresponsive, "reset" resets them, "delay" delays them,
        "none" ends dropping and delays."""
        http_request("POST", self.cutter_control_port, "/", json.dumps({"port": self.cutter_port(index), "cut": fault}))

    def services(self, node=0):
        return json.loads(http_request("GET", self.admin_port(node), "/v1/services",
                                       token=OPERATOR_TOKEN)[1])["services"]

    def owner(self, service, node=0):
        for item in self.services(node):
            if item["service"] == service:
                return item["owner"]
        return None

    def read_runs(self, pool):
        path = os.path.join(self.work_dir, "runs-%s.jsonl" % pool.name)
        with open(path) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def load(self, streams, duration, targets=None, background=False, **plan):
        """Runs the load client and returns its report, or with `background` its running process."""
        plan = dict(plan, streams=streams, duration_s=duration)
        ports = targets or [self.caller_port(i) for i in range(self.count)]
        plan["targets"] = [{"address": "127.0.0.1", "port": port} for port in ports]
        plan.setdefault("seed", self.seed)
        name = plan.setdefault("run", "r%d" % len([n for n in self.processes if n.startswith("load")]))
        path = os.path.join(self.work_dir, "load-%s.json" % name)
        with open(path, "w") as file:
            json.dump(plan, file)
        process = subprocess.Popen([self.binary("load_stand_in"), path], stdout=subprocess.PIPE)
        self.processes["load-" + name] = process
        return process if background else json.loads(process.communicate()[0])


def stream(name, rate, target, work_ms=10, **more):
    """Returns one stream of the load client, with a steady rate unless `phases` are given."""
    phases = more.pop("phases", None) or [{"at_s": 0, "rate": rate}]
    return dict({"name": name, "target": target, "work_ms": work_ms, "phases": phases}, **more)


def pool_objects(pools):
    """Returns the endpoints and pools of an object set for simulated pools."""
    objects = {"endpoints": {}, "pools": {}}
    for pool in pools:
        names = []
        for index in range(pool.count):
            names.append(pool.endpoint(index))
            objects["endpoints"][pool.endpoint(index)] = {
                "address": "127.0.0.1", "port": pool.base_port + index, "zone": "az%d" % (index % 4)}
        objects["pools"][pool.name] = {"endpoints": names, "slots": pool.slots, "max_connections": pool.connections}
    return objects


def authority_pools(base_port):
    """Returns the pools of the Adaptation Grants Gateway at their present size."""
    return [Pool("status", 8, 2, base_port), Pool("disbursement", 8, 2, base_port + 100),
            Pool("records", 12, 2, base_port + 200)]


def utility_pools(base_port):
    """Returns the pools of the Dyffryn Dossier Gateway at their present size."""
    return [Pool("dossier", 8, 6, base_port + 300, 390), Pool("filing", 9, 6, base_port + 400, 390),
            Pool("reference", 20, 6, base_port + 500, 390)]


def example_objects(pools):
    """Returns an object set modeled on both example deployments, limited to the given pools."""
    objects = pool_objects(pools)
    names = [pool.name for pool in pools]
    objects["services"] = {name: {"pool": name, "floor": 0.5} for name in names}
    objects["priorities"] = {
        "filing": {"rank": 0, "max_wait_ms": 1000},
        "read": {"rank": 1, "max_wait_ms": 300},
        "archive": {"rank": 5, "max_wait_ms": 20000, "max_share": 0.9},
    }
    objects["limits"] = {"standard": {"rate": 20000, "burst": 5000}}
    objects["accounts"] = {
        "caseworkers": {"key_sha256": sha256("caseworker-key"), "group": "caseworkers", "weight": 2,
                        "limit": "standard"},
        "applicants": {"key_sha256": sha256("applicant-key"), "group": "applicants", "limit": "standard"},
        "assessors": {"key_sha256": sha256("assessor-key"), "group": "assessors", "limit": "standard"},
    }
    routes = {
        "status": ("status", "GET", "/status", "read", True), "disburse": ("disbursement", "POST", "/disburse", "filing", False),
        "records": ("records", "GET", "/records", "read", True), "archive": ("records", "GET", "/archive", "archive", True),
        "dossier": ("dossier", "GET", "/dossier", "read", True), "lodge": ("filing", "POST", "/lodge", "filing", False),
        "register": ("filing", "GET", "/register", "read", True),
        "reference": ("reference", "GET", "/reference", "read", True),
        "bulk": ("reference", "GET", "/bulk", "archive", True), "upload": ("reference", "POST", "/upload", "read", True),
    }
    objects["routes"] = {}
    for name, (service, method, prefix, priority, repeatable) in routes.items():
        if service in names:
            objects["routes"][name] = {
                "method": method, "path_prefix": prefix, "service": service, "priority": priority,
                "repeatable": repeatable, "deadline_ms": 30000 if priority == "archive" else 10000}
    return objects

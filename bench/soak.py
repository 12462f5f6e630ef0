"""Randomized soak test: injects faults into real processes on loopback and checks guarantees during the run."""

import json
import os
import random
import threading
import time

import checks
from fleet import Fleet, authority_pools, example_objects, stream
from fleet_scenarios import FleetMonitor, race_publishes
from registry import POLICIES, WORK_DIR, scenario, start_published

NODES = 6
CHECK_PERIOD_S = 1.0
RECOVERY_S = 4.0  # Every node must be ready again within this time after the last fault.
GRACE_S = 12.0  # Longest wait of the load client for open requests after its last one.

# Kinds of fault. Nodes and links: shortest and longest duration in s. Store and endpoints: fault settings.
NODE_FAULTS = {"kill": (0.1, 1.5), "terminate": (0.1, 1.5), "freeze": (0.2, 3.0)}
LINK_FAULTS = {"to": (0.3, 3.0), "from": (0.3, 3.0), "both": (0.3, 2.0), "silent": (0.1, 0.2), "reset": (0.1, 0.2),
               "delay": (0.5, 3.0)}
STORE_FAULTS = {"down": {"down": True}, "slow": {"slow_ms": 300}, "loses answers": {"lose_answers": 3}}
ENDPOINT_FAULTS = ({"error_rate": 0.6}, {"slow_factor": 6.0})
STATEMENT_FAULTS = ({"limit_per_s": 2.0}, {"pause_s": 1.5, "shed_rate": 0.5})


class FaultSeries(threading.Thread):
    """Injects faults of one kind in sequence, with pauses, until a deadline. Each fault is reverted before the next."""

    def __init__(self, soak_run, seed, deadline):
        super().__init__(daemon=True)
        self.soak_run, self.random, self.deadline, self.problem = soak_run, random.Random(seed), deadline, None

    def run(self):
        try:
            while time.time() < self.deadline:
                time.sleep(self.random.uniform(0.1, 1.2))
                self.inject_fault()
        except Exception as error:  # The run reports it as a failure after joining the thread.
            self.problem = "%s: %r" % (type(self).__name__, error)

    def log_fault(self, kind, subject):
        self.soak_run.log.append((round(time.time() - self.soak_run.started_at, 2), kind, subject))

    def sleep_within(self, bounds):
        time.sleep(self.random.uniform(*bounds))


class NodeSeries(FaultSeries):
    """Kills, terminates or pauses one node at a time. A lock per node serializes concurrent series."""

    def inject_fault(self):
        fleet, kind = self.soak_run.fleet, self.random.choice(sorted(NODE_FAULTS))
        index = self.random.randrange(fleet.count)
        name = fleet.node_name(index)
        with self.soak_run.node_locks[index]:
            self.log_fault(kind, name)
            if kind == "freeze":
                fleet.pause(name)
                self.sleep_within(NODE_FAULTS[kind])
                fleet.resume(name)
                return
            process = fleet.processes[name]
            self.soak_run.record_unexpected_exit(index)
            process.kill() if kind == "kill" else process.terminate()
            process.wait()
            self.sleep_within(NODE_FAULTS[kind])
            fleet.start_node(index)


class LinkSeries(FaultSeries):
    """Injects link faults on the connections and datagrams to one node."""

    def inject_fault(self):
        fleet, kind = self.soak_run.fleet, self.random.choice(sorted(LINK_FAULTS))
        index = self.random.randrange(fleet.count)
        self.log_fault("link " + kind, fleet.node_name(index))
        fleet.set_link_fault(index, kind)
        self.sleep_within(LINK_FAULTS[kind])
        fleet.set_link_fault(index, "none")


class StoreSeries(FaultSeries):
    """Makes the store unavailable, slows it down or loses its responses."""

    def inject_fault(self):
        kind = self.random.choice(sorted(STORE_FAULTS))
        self.log_fault("store " + kind, "store")
        self.soak_run.fleet.control_platform(faults=STORE_FAULTS[kind])
        self.sleep_within((0.5, 3.0))
        self.soak_run.fleet.control_platform(faults={})


class EndpointSeries(FaultSeries):
    """Makes one endpoint fail requests or run them slowly."""

    faults = ENDPOINT_FAULTS

    def inject_fault(self):
        pool = self.random.choice(self.soak_run.fleet.pools)
        index, faults = self.random.randrange(pool.count), self.random.choice(self.faults)
        self.log_fault("endpoint " + next(iter(faults)), "%s-%d" % (pool.name, index))
        self.soak_run.fleet.endpoint_faults(pool, index, **faults)
        self.sleep_within((0.5, 3.0))
        self.soak_run.fleet.endpoint_faults(pool, index)


class StatementSeries(EndpointSeries):
    """Makes one endpoint state a request limit, or ask for a pause in its refusals."""

    faults = STATEMENT_FAULTS


class OperatorSeries(FaultSeries):
    """Lets two operators publish concurrently."""

    def inject_fault(self):
        log = []
        race_publishes(self.soak_run.fleet, self.random, log)
        self.log_fault("race", log[-1][2] if log else "no node answered")
        self.sleep_within((1.0, 3.0))


class SoakRun:
    """One soak run, determined by its seed except for timing."""

    def __init__(self, seed, seconds):
        self.seed, self.seconds, self.log, self.started_at, self.unexpected_exits = seed, seconds, [], time.time(), 0
        self.node_locks = [threading.Lock() for _ in range(NODES)]

    def record_unexpected_exit(self, index):
        """Records a node process that exited unprompted. The caller holds the node's lock, or all series have ended."""
        name = self.fleet.node_name(index)
        if self.fleet.processes[name].poll() is not None:
            self.unexpected_exits += 1
            self.log.append((round(time.time() - self.started_at, 2), "ended by itself", name))

    def find_violations(self, path, final):
        """Returns the counts of violations that the endpoint logs and, if `final`, the callers' outcomes show."""
        pools = self.fleet.pools
        counts = {"doubled": checks.count_duplicate_runs(self.fleet, pools)}
        if final:
            counts["false_not_run"] = checks.count_false_not_run(self.fleet, pools, path)
            counts["answered_without_run"] = checks.count_answered_without_run(self.fleet, pools, path)
        return {name: count for name, count in counts.items() if count}

    def not_ready(self):
        """Returns the number of nodes that are not ready after RECOVERY_S."""
        deadline, unready = time.time() + RECOVERY_S, set(range(NODES))
        while unready and time.time() < deadline:
            for index in sorted(unready):
                try:
                    if self.fleet.status(index)["ready"]:
                        unready.discard(index)
                except (OSError, ValueError):
                    continue  # The node is still starting.
            time.sleep(0.1)
        for index in unready:
            self.log.append((round(time.time() - self.started_at, 2), "not ready", self.fleet.node_name(index)))
        return len(unready)

    def execute(self):
        random_source = random.Random(self.seed)
        pools = authority_pools(24000)
        work_dir = os.path.join(WORK_DIR, "soak-%d" % self.seed)
        with Fleet(work_dir, nodes=NODES, pools=pools, policy=POLICIES[0], link_cutters=True, seed=self.seed) as fleet:
            self.fleet, fleet.objects, fleet.publish_races = fleet, example_objects(pools), []
            start_published(fleet, fleet.objects)
            path = os.path.join(work_dir, "outcomes.jsonl")
            keyed = {"method": "POST", "keyed": True, "body_bytes": 300, "resends": 4}
            load = fleet.load([stream("status", 80, "/status/{n}", 10, api_key="caseworker-key"),
                               stream("disburse", 40, "/disburse/{n}", 20, **keyed),
                               stream("records", 40, "/records/{n}", 20), stream("archive", 3, "/archive/{n}", 400)],
                              self.seconds + RECOVERY_S, outcomes=path, background=True, grace_s=GRACE_S)
            self.started_at = time.time()
            monitor = FleetMonitor(fleet)
            monitor.start()
            deadline = self.started_at + self.seconds
            kinds = [NodeSeries, NodeSeries, LinkSeries, LinkSeries, StoreSeries, EndpointSeries, OperatorSeries]
            series = [kind(self, random_source.random(), deadline)
                      for kind in random_source.sample(kinds, random_source.randint(3, len(kinds)))]
            # Apart from the others, so that seeds of past failures still draw the same series.
            series.append(StatementSeries(self, self.seed, deadline))
            for fault_series in series:
                fault_series.start()
            violations = {}
            while any(fault_series.is_alive() for fault_series in series) and not violations:
                time.sleep(CHECK_PERIOD_S)
                violations = self.find_violations(path, False)
            for fault_series in series:
                fault_series.join()
            not_ready = self.not_ready()
            for index in range(NODES):
                self.record_unexpected_exit(index)
            report = json.loads(load.communicate()[0])
            monitor.stop_requested.set()
            monitor.join()
            violations.update(self.find_violations(path, True))
            wrong = sum(r["wrong"] for r in report.values())
            two_winners = sum(r.count(200) > 1 for r in fleet.publish_races)
            problems = [fault_series.problem for fault_series in series if fault_series.problem]
            for name, count in (("wrong", wrong), ("older_revisions", monitor.revision_regressions),
                                ("not_ready", not_ready), ("crashed", self.unexpected_exits),
                                ("below_floor", monitor.below_floor), ("two_winners", two_winners),
                                ("soak_problems", len(problems))):
                if count:
                    violations[name] = count
            return {"seed": self.seed, "broken": violations, "problems": problems, "faults": len(self.log),
                    "sent": sum(r["sent"] for r in report.values()), "log": self.log if violations else []}


def regression_seeds():
    """Returns the seeds of past failures. The file has one seed per line, followed by the cause."""
    with open(os.path.join(os.path.dirname(__file__), "soak_regressions.txt")) as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def seeds():
    """Returns the seeds selected by FESCUE_SEEDS: a range such as 1-50, a list such as 3,7, "fresh-N" for N random
    seeds, or "ci" for seed 1 and the seeds of past failures."""
    text = os.environ.get("FESCUE_SEEDS", "1")
    if text == "ci":
        return [1] + regression_seeds()
    if text.startswith("fresh-"):
        return [random.SystemRandom().randrange(1, 10**9) for _ in range(int(text[6:]))]
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in text.split(",")]


@scenario
def soak():
    """Overlapping series of node, link, store and endpoint faults and concurrent publishes; fails if a guarantee is
    violated."""
    seconds = float(os.environ.get("FESCUE_SECONDS", "10"))
    results = []
    for seed in seeds():
        results.append(SoakRun(seed, seconds).execute())
        print(json.dumps(results[-1]), flush=True)
    failed = [result["seed"] for result in results if result["broken"]]
    if failed:
        raise SystemExit("soak: promises broke with seeds %s" % failed)
    return {"runs": len(results), "faults": sum(r["faults"] for r in results), "sent": sum(r["sent"] for r in results)}

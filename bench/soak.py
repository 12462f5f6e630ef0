"""A randomized soak: real processes on loopback, faults injected from outside, promises checked while it runs."""

import json
import os
import random
import threading
import time

import checks
from fleet import Fleet, authority_pools, example_objects, stream
from fleet_scenarios import Watcher, race
from registry import POLICIES, WORK, scenario, start_published

NODES = 6
CHECK_PERIOD_S = 1.0
RECOVERY_S = 4.0  # Time after the last fault in which every node must be ready again.
GRACE_S = 12.0  # Longest time that the load client waits for what is open at its end.

# Kinds of fault: order to a node, its link or the store, and the shortest and longest time for which it lasts.
NODE_FAULTS = {"kill": (0.1, 1.5), "terminate": (0.1, 1.5), "freeze": (0.2, 3.0)}
LINK_FAULTS = {"to": (0.3, 3.0), "from": (0.3, 3.0), "both": (0.3, 2.0), "silent": (0.1, 0.2), "reset": (0.1, 0.2),
               "delay": (0.5, 3.0)}
STORE_FAULTS = {"down": {"down": True}, "slow": {"slow_ms": 300}, "loses answers": {"lose_answers": 3}}
ENDPOINT_FAULTS = ({"error_rate": 0.6}, {"slow_factor": 6.0})


class Series(threading.Thread):
    """Faults of one kind one after the other, with pauses, until the time is over; all are mended at the end."""

    def __init__(self, run, seed, until):
        super().__init__(daemon=True)
        self.run_state, self.random, self.until, self.problem = run, random.Random(seed), until, None

    def run(self):
        try:
            while time.time() < self.until:
                time.sleep(self.random.uniform(0.1, 1.2))
                self.cause()
        except Exception as error:  # Reported as a failure of the run by whoever joins.
            self.problem = "%s: %r" % (type(self).__name__, error)

    def note(self, kind, subject):
        self.run_state.log.append((round(time.time() - self.run_state.begun, 2), kind, subject))

    def wait(self, bounds):
        time.sleep(self.random.uniform(*bounds))


class NodeSeries(Series):
    """Kills, ends or pauses one node at a time; two such series may choose the same node."""

    def cause(self):
        fleet, kind = self.run_state.fleet, self.random.choice(sorted(NODE_FAULTS))
        index = self.random.randrange(fleet.count)
        name = fleet.name(index)
        with self.run_state.node_locks[index]:
            self.note(kind, name)
            if kind == "freeze":
                fleet.freeze(name)
                self.wait(NODE_FAULTS[kind])
                fleet.thaw(name)
                return
            process = fleet.processes[name]
            self.run_state.note_crash(index)
            process.kill() if kind == "kill" else process.terminate()
            process.wait()
            self.wait(NODE_FAULTS[kind])
            fleet.start_node(index)


class LinkSeries(Series):
    """Cuts, silences, resets or delays the connections and datagrams to one node."""

    def cause(self):
        fleet, kind = self.run_state.fleet, self.random.choice(sorted(LINK_FAULTS))
        index = self.random.randrange(fleet.count)
        self.note("link " + kind, fleet.name(index))
        fleet.cut(index, kind)
        self.wait(LINK_FAULTS[kind])
        fleet.cut(index, "none")


class StoreSeries(Series):
    """Takes the store away, slows it down or loses its answers."""

    def cause(self):
        kind = self.random.choice(sorted(STORE_FAULTS))
        self.note("store " + kind, "store")
        self.run_state.fleet.platform(faults=STORE_FAULTS[kind])
        self.wait((0.5, 3.0))
        self.run_state.fleet.platform(faults={})


class EndpointSeries(Series):
    """Lets one endpoint fail or run slowly."""

    def cause(self):
        pool = self.random.choice(self.run_state.fleet.pools)
        index, faults = self.random.randrange(pool.count), self.random.choice(ENDPOINT_FAULTS)
        self.note("endpoint " + next(iter(faults)), "%s-%d" % (pool.name, index))
        self.run_state.fleet.endpoint_faults(pool, index, **faults)
        self.wait((0.5, 3.0))
        self.run_state.fleet.endpoint_faults(pool, index)


class OperatorSeries(Series):
    """Two operators publish at once."""

    def cause(self):
        log = []
        race(self.run_state.fleet, self.random, log)
        self.note("race", log[-1][2] if log else "no node answered")
        self.wait((1.0, 3.0))


class Run:
    """One seeded run."""

    def __init__(self, seed, seconds):
        self.seed, self.seconds, self.log, self.begun, self.crashed = seed, seconds, [], time.time(), 0
        self.node_locks = [threading.Lock() for _ in range(NODES)]

    def note_crash(self, index):
        """Notes a node that ended without being told to. Its lock is held, or no series runs any more."""
        name = self.fleet.name(index)
        if self.fleet.processes[name].poll() is not None:
            self.crashed += 1
            self.log.append((round(time.time() - self.begun, 2), "ended by itself", name))

    def breaches(self, path, final):
        """What the endpoints' logs and callers' outcomes show to be broken."""
        pools = self.fleet.pools
        found = {"doubled": checks.doubled_keys(self.fleet, pools)}
        if final:
            found["false_not_run"] = checks.false_not_run(self.fleet, pools, path)
            found["answered_without_run"] = checks.answered_without_run(self.fleet, pools, path)
        return {name: count for name, count in found.items() if count}

    def not_ready(self):
        """Nodes that are not ready within the time for recovery."""
        until, waiting = time.time() + RECOVERY_S, set(range(NODES))
        while waiting and time.time() < until:
            for index in sorted(waiting):
                try:
                    if self.fleet.status(index)["ready"]:
                        waiting.discard(index)
                except (OSError, ValueError):
                    continue  # The node is still starting.
            time.sleep(0.1)
        for index in waiting:
            self.log.append((round(time.time() - self.begun, 2), "not ready", self.fleet.name(index)))
        return len(waiting)

    def play(self):
        source = random.Random(self.seed)
        pools = authority_pools(24000)
        work = os.path.join(WORK, "soak-%d" % self.seed)
        with Fleet(work, nodes=NODES, pools=pools, policy=POLICIES[0], cutters=True, seed=self.seed) as fleet:
            self.fleet, fleet.objects, fleet.races = fleet, example_objects(pools), []
            start_published(fleet, fleet.objects)
            path = os.path.join(work, "outcomes.jsonl")
            keyed = {"method": "POST", "keyed": True, "body_bytes": 300, "resends": 4}
            load = fleet.load([stream("status", 80, "/status/{n}", 10, api_key="caseworker-key"),
                               stream("disburse", 40, "/disburse/{n}", 20, **keyed),
                               stream("records", 40, "/records/{n}", 20), stream("archive", 3, "/archive/{n}", 400)],
                              self.seconds + RECOVERY_S, outcomes=path, background=True, grace_s=GRACE_S)
            self.begun = time.time()
            watcher = Watcher(fleet)
            watcher.start()
            until = self.begun + self.seconds
            kinds = [NodeSeries, NodeSeries, LinkSeries, LinkSeries, StoreSeries, EndpointSeries, OperatorSeries]
            series = [kind(self, source.random(), until) for kind in source.sample(kinds, source.randint(3, len(kinds)))]
            for one in series:
                one.start()
            broken = {}
            while any(one.is_alive() for one in series) and not broken:
                time.sleep(CHECK_PERIOD_S)
                broken = self.breaches(path, False)
            for one in series:
                one.join()
            not_ready = self.not_ready()
            for index in range(NODES):
                self.note_crash(index)
            report = json.loads(load.communicate()[0])
            watcher.over.set()
            watcher.join()
            broken.update(self.breaches(path, True))
            wrong = sum(r["wrong"] for r in report.values())
            two_winners = sum(r.count(200) > 1 for r in fleet.races)
            problems = [one.problem for one in series if one.problem]
            for name, count in (("wrong", wrong), ("older_revisions", watcher.older), ("not_ready", not_ready), ("crashed", self.crashed),
                                ("below_floor", watcher.below_floor), ("two_winners", two_winners),
                                ("soak_problems", len(problems))):
                if count:
                    broken[name] = count
            return {"seed": self.seed, "broken": broken, "problems": problems, "faults": len(self.log),
                    "sent": sum(r["sent"] for r in report.values()), "log": self.log if broken else []}


def regressions():
    """Seeds that ever failed, each with its cause on the same line."""
    with open(os.path.join(os.path.dirname(__file__), "soak_regressions.txt")) as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def seeds():
    """Seeds from FESCUE_SEEDS: 1-50 or 3,7; "fresh-N" for N new ones; "ci" for seed 1 and those that ever failed."""
    text = os.environ.get("FESCUE_SEEDS", "1")
    if text == "ci":
        return [1] + regressions()
    if text.startswith("fresh-"):
        return [random.SystemRandom().randrange(1, 10**9) for _ in range(int(text[6:]))]
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in text.split(",")]


@scenario
def soak():
    """Kills, pauses, cuts, an ailing store and racing operators in overlapping series; fails if a promise breaks."""
    seconds = float(os.environ.get("FESCUE_SECONDS", "10"))
    results = []
    for seed in seeds():
        results.append(Run(seed, seconds).play())
        print(json.dumps(results[-1]), flush=True)
    failed = [result["seed"] for result in results if result["broken"]]
    if failed:
        raise SystemExit("soak: promises broke with seeds %s" % failed)
    return {"runs": len(results), "faults": sum(r["faults"] for r in results), "sent": sum(r["sent"] for r in results)}

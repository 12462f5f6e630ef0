"""Scenarios that measure the request path and the policies for queueing, slots and endpoint health."""

import json
import os
import time
import urllib.request

import checks
from fleet import READER_TOKEN, Pool, http_request, stream
from registry import POLICIES, time_of_day, read_ejections, one_pool_objects, process_cost, run_fleet, scenario, \
    start_published


@scenario
def added_latency():
    """Latency that the fleet adds compared with direct calls to the same endpoints."""
    pool = Pool("status", 8, 2, 24000)
    with run_fleet("added", "fair", None, [pool], nodes=4) as fleet:
        start_published(fleet, one_pool_objects(pool))
        # The load is below saturation, so that the difference is due to the request path and not to queueing.
        plan = [stream("read", 200, "/read/{n}", 5)]
        fleet.load(plan, 2, run="warm")
        direct = fleet.load(plan, 10, targets=[pool.base_port + i for i in range(8)], run="direct")["read"]
        through = fleet.load(plan, 10, run="through")["read"]
    return {"direct_p50_ms": direct["p50_ms"], "direct_p99_ms": direct["p99_ms"], "p50_ms": through["p50_ms"],
            "p99_ms": through["p99_ms"], "added_p50_ms": through["p50_ms"] - direct["p50_ms"],
            "added_p99_ms": through["p99_ms"] - direct["p99_ms"], "wrong": through["wrong"], "lost": through["lost"],
            "target_added_p99_ms": 2.7}


@scenario
def large_body():
    """Requests and responses of 32 MB that must be equal byte by byte, and invalid requests, beside other traffic."""
    pool = Pool("reference", 8, 6, 24000)
    with run_fleet("large", "fair", None, [pool], nodes=4) as fleet:
        objects = one_pool_objects(pool)
        objects["routes"]["upload"] = {"service": pool.name, "method": "POST", "path_prefix": "/upload",
                                       "priority": "read", "deadline_ms": 60000}
        start_published(fleet, objects)
        load = fleet.load([stream("read", 200, "/read/{n}", 5)], 10, background=True)
        body = os.urandom(32 * 1024 * 1024)
        equal_bodies, seconds = 0, []
        for index in range(fleet.count):
            started_at = time.time()
            equal_bodies += post_raw("POST", fleet.caller_port(index), "/upload", body) == body
            seconds.append(time.time() - started_at)
        malformed = {
            "bad request": http_request("GET", fleet.caller_port(0), "/nothing")[1],
            "bad set": json.dumps(fleet.publish("{\"services\": {\"s\": {\"pool\": \"x\"}}}", base=1)[1]),
            "bad token": http_request("GET", fleet.admin_port(0), "/v1/status", token="wrong")[1],
            "reader publishes": http_request("POST", fleet.admin_port(0), "/v1/publish?base=1&publish_id=x", "{}",
                                             token=READER_TOKEN)[1]}
        report = json.loads(load.communicate()[0])["read"]
        memory = max(process_cost(fleet, i)[1] for i in range(fleet.count))
    return {"equal": equal_bodies, "of": fleet.count, "seconds": seconds, "most_resident_mb": memory,
            "results": {name: json.loads(text)["result"] for name, text in malformed.items()},
            "others_answered": report["answered"], "others_sent": report["sent"]}


def post_raw(method, port, path, body):
    request = urllib.request.Request("http://127.0.0.1:%d%s" % (port, path), data=body, method=method)
    with urllib.request.urlopen(request, timeout=60) as response:
        return response.read()


@scenario
def recording_cost():
    """CPU time of the nodes per request, alternately with and without decision records."""
    cpu_us = {8192: [], 0: []}
    for trial_round in range(4):
        for records in cpu_us:
            pool = Pool("reference", 20, 6, 24000)
            with run_fleet("recording-%d-%d" % (trial_round, records), "fair", None, [pool], nodes=4,
                           settings={"journal_records": records}) as fleet:
                start_published(fleet, one_pool_objects(pool))
                plan = [stream("read", 1500, "/read/{n}", 5)]
                fleet.load(plan, 2, run="warm")
                before = sum(process_cost(fleet, i)[0] for i in range(fleet.count))
                answered = fleet.load(plan, 8, run="measured")["read"]["answered"]
                after = sum(process_cost(fleet, i)[0] for i in range(fleet.count))
                cpu_us[records].append((after - before) / answered * 1e6)
    # Other processes on the machine can only increase the CPU time, so the minima are compared.
    on, off = min(cpu_us[8192]), min(cpu_us[0])
    return {"on_us": on, "off_us": off, "throughput_lost": 1 - off / on,
            "all_us": {str(k): v for k, v in cpu_us.items()},
            "target_lost": 0.03}


@scenario
def hundred_thousand():
    """100,000 requests through four nodes, with a check of each response."""
    pool = Pool("reference", 20, 6, 24000)
    with run_fleet("many", "fair", None, [pool], nodes=4) as fleet:
        start_published(fleet, one_pool_objects(pool))
        plan = [stream("read", 2500, "/read/{n}", 5), stream("file", 20, "/file/{n}", 5, method="POST", keyed=True,
                                                            body_bytes=300)]
        report = fleet.load(plan, 41, outcomes=os.path.join(fleet.work_dir, "outcomes.jsonl"))
        doubled = checks.count_duplicate_runs(fleet, [pool])
    return {"sent": sum(r["sent"] for r in report.values()), "wrong": sum(r["wrong"] for r in report.values()),
            "lost": sum(r["lost"] for r in report.values()), "doubled": doubled,
            "others": {k: v for r in report.values() for k, v in r["codes"].items() if k != "HTTP 200"}}


@scenario
def head_of_line():
    """Latency of short requests beside archive requests that saturate their class, relative to short requests alone."""
    result = {"target_ratio": 1.25}
    for policy in POLICIES:
        pool = Pool("records", 8, 2, 24000)
        with run_fleet("hol", policy, None, [pool]) as fleet:
            start_published(fleet, one_pool_objects(pool))
            # Short requests use 30% of the 16 slots.
            short = stream("short", 240, "/read/{n}", 20, work_shape="exponential")
            long = stream("long", 20, "/archive/{n}", 1000, timeout_ms=70000)
            fleet.load([dict(short)], 3, run="warm")
            alone = fleet.load([dict(short)], 20, run="alone")["short"]
            beside = fleet.load([dict(short), long], 20, run="beside", grace_s=90)
            done = sum(beside["long"]["answered_per_100ms"][50:200])
            result[policy] = {"short_alone_p99_ms": alone["p99_ms"], "short_beside_p99_ms": beside["short"]["p99_ms"],
                              "ratio": beside["short"]["p99_ms"] / alone["p99_ms"],
                              "ratio_after_5s": max(beside["short"]["p99_ms_per_s"][5:]) / alone["p99_ms"],
                              "archives_per_s": done / 15.0, "short_lost": beside["short"]["lost"],
                              "short_codes": beside["short"]["codes"]}
    return result


@scenario
def crest():
    """Goodput when the load steps from half of capacity to three times capacity for 10 s. A filing counts twice."""
    result = {"target_goodput": 0.95, "target_recovery_s": 1}
    for policy in POLICIES:
        pool = Pool("dossier", 8, 6, 24000)
        with run_fleet("crest", policy, None, [pool]) as fleet:
            start_published(fleet, one_pool_objects(pool))
            work_ms, slots = 40, 48
            capacity = slots * 1000.0 / (work_ms + 2)  # The network delay occupies the slot as well.
            shares = {"file": 0.2, "read": 0.8}
            phases = lambda share: [{"at_s": 0, "rate": 0.5 * capacity * share},
                                    {"at_s": 5, "rate": 3 * capacity * share},
                                    {"at_s": 15, "rate": 0.5 * capacity * share}]
            plan = [stream("file", 0, "/file/{n}", work_ms, method="POST", keyed=True, body_bytes=100,
                           phases=phases(shares["file"])),
                    stream("read", 0, "/read/{n}", work_ms, phases=phases(shares["read"]))]
            report = fleet.load(plan, 22, grace_s=20, outcomes=os.path.join(fleet.work_dir, "outcomes.jsonl"))
            filings = sum(report["file"]["answered_per_100ms"][55:145])
            reads = sum(report["read"]["answered_per_100ms"][55:145])
            # Highest goodput in the 9 s measured: all filings that arrive, and reads in the remaining capacity.
            max_filings = min(3 * capacity * shares["file"], capacity) * 9
            max_goodput = 2 * max_filings + (capacity * 9 - max_filings)
            normal_p99_ms = max(report["read"]["p99_ms_per_s"][1:5])
            after = report["read"]["p99_ms_per_s"][16:21]
            recovery = next((i + 1 for i, p in enumerate(after) if p <= 1.5 * normal_p99_ms), None)
            result[policy] = {"goodput": (2 * filings + reads) / max_goodput,
                              "filings_answered": report["file"]["answered"],
                              "filings_sent": report["file"]["sent"], "recovery_s": recovery,
                              "doubled_filings": checks.count_duplicate_runs(fleet, [pool]),
                              "normal_p99_ms": normal_p99_ms, "after_p99_ms": after,
                              "file_codes": report["file"]["codes"], "read_codes": report["read"]["codes"],
                              "file_p99_ms": report["file"]["p99_ms"]}
    return result


@scenario
def gray():
    """Time and responses until endpoints with different gray failures are ejected."""
    result = {"target_answers": 10, "target_error_s": 1, "target_slow_s": 2, "target_false": 0}
    kinds = {"errors": {"error_rate": 0.5}, "slow": {"slow_factor": 5.0},
             "flapping": {"error_rate": 0.6, "flap_ms": 1000}}
    trials = int(os.environ.get("FESCUE_TRIALS", "5"))
    for policy in POLICIES:
        result[policy] = {}
        for kind, faults in kinds.items():
            times, response_counts = [], []
            pool = Pool("dossier", 8, 6, 24000)
            with run_fleet("gray-" + kind, policy, None, [pool], nodes=4) as fleet:
                start_published(fleet, one_pool_objects(pool))
                load = fleet.load([stream("read", 400, "/read/{n}", 10, work_shape="lognormal")], 4 + 9 * trials,
                                  background=True)
                time.sleep(4)
                for trial in range(trials):
                    before = len(read_ejections(fleet))
                    runs_before = sum(1 for r in fleet.read_runs(pool)
                                      if r["what"] == "ended" and r["endpoint"] == trial)
                    since = time_of_day()
                    fleet.endpoint_faults(pool, trial, **faults)
                    time.sleep(5)
                    runs = [r for r in fleet.read_runs(pool) if r["what"] == "ended" and r["endpoint"] == trial]
                    fleet.endpoint_faults(pool, trial)
                    ejection_times = [t for t, name in read_ejections(fleet)[before:] if name == pool.endpoint(trial)]
                    if ejection_times:
                        times.append(ejection_times[0] - since)
                        response_counts.append(sum(1 for r in runs[runs_before:]
                                           if (r["t_ms"] / 1000.0) % 86400 <= ejection_times[0]))
                    time.sleep(4)
                load.communicate()
            times.sort()
            response_counts.sort()
            result[policy][kind] = {"found": len(times), "of": trials,
                                    "median_s": times[len(times) // 2] if times else None,
                                    "worst_s": times[-1] if times else None,
                                    "median_answers": response_counts[len(response_counts) // 2]
                                    if response_counts else None}
    return result


@scenario
def false_ejections():
    """False ejections over 200,000 responses with 1% errors and heavy-tailed service times, and ejections when all
    endpoints degrade together."""
    result = {"target": 0}
    for policy in POLICIES:
        pool = Pool("reference", 20, 6, 24000)
        with run_fleet("false", policy, None, [pool], nodes=4) as fleet:
            start_published(fleet, one_pool_objects(pool))
            fleet.endpoint_faults(pool, -1, error_rate=0.01)
            report = fleet.load([stream("read", 2400, "/read/{n}", 8, work_shape="lognormal")], 85)["read"]
            ejections_before = len(read_ejections(fleet))
            fleet.endpoint_faults(pool, -1, error_rate=0.3, slow_factor=3.0)
            fleet.load([stream("read", 1200, "/read/{n}", 8, work_shape="lognormal")], 10)
            result[policy] = {"answers": report["answered"], "false_ejections": ejections_before,
                              "ejections_when_all_worsen": len(read_ejections(fleet)) - ejections_before,
                              "codes": report["codes"]}
    return result


@scenario
def poison():
    """Endpoint crashes caused by a request that crashes any endpoint it runs on and is resent by its caller."""
    result = {"target_crashes": 2}
    for policy in POLICIES:
        pool = Pool("dossier", 8, 6, 24000)
        with run_fleet("poison", policy, None, [pool], nodes=4) as fleet:
            start_published(fleet, one_pool_objects(pool))
            fleet.endpoint_faults(pool, -1, crash_on="poison", restart_ms=3000)
            load = fleet.load([stream("read", 300, "/read/{n}", 20)], 10, background=True)
            time.sleep(2)
            codes = []
            for _ in range(10):
                status, body = http_request("GET", fleet.caller_port(0), "/read/poison")
                codes.append(json.loads(body)["result"] if body.startswith("{") else status)
                time.sleep(0.3)
            report = json.loads(load.communicate()[0])["read"]
            crashes = sum(1 for run in fleet.read_runs(pool) if run["what"] == "crashed")
        result[policy] = {"crashes": crashes, "told": codes, "others_answered": report["answered"],
                          "others_sent": report["sent"], "others_codes": report["codes"], "lost": report["lost"]}
    return result

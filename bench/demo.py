"""Runs both example deployments on four nodes under load and checks every response."""

import json
import os
import shutil
import sys
import tempfile

from checks import count_duplicate_runs
from fleet import Fleet, authority_pools, example_objects, http_request, stream, utility_pools


def main():
    work_dir = tempfile.mkdtemp(prefix="fescueramp-demo-")
    scale = float(os.environ.get("FESCUE_DEMO_SCALE", "1"))
    pools = authority_pools(22000) + utility_pools(22000)
    problems = []
    with Fleet(work_dir, nodes=4, pools=pools, base_port=23000) as fleet:
        status, body = fleet.publish(example_objects(pools))
        if status != 200:
            print("publish failed:", body)
            return 1
        fleet.wait_revision(body["revision"])
        streams = [
            stream("status", 300 * scale, "/status/{n}", 10, api_key="caseworker-key"),
            stream("disburse", 60 * scale, "/disburse/{n}", 20, method="POST", body_bytes=200, keyed=True,
                   api_key="caseworker-key"),
            stream("records", 100 * scale, "/records/{n}", 20, api_key="applicant-key"),
            stream("archive", 6 * scale, "/archive/{n}", 500, api_key="assessor-key"),
            stream("dossier", 500 * scale, "/dossier/{n}", 20),
            stream("lodge", 100 * scale, "/lodge/{n}", 30, method="POST", body_bytes=2000, keyed=True),
            stream("reference", 600 * scale, "/reference/{n}", 30),
        ]
        report = fleet.load(streams, duration=10, outcomes=os.path.join(work_dir, "outcomes.jsonl"))
        print("%-12s %8s %9s %6s %6s %9s %9s  other results" % ("stream", "sent", "answered", "wrong", "lost", "p50 ms",
                                                                "p99 ms"))
        for name, row in report.items():
            others = {code: count for code, count in row["codes"].items() if code != "HTTP 200"}
            print("%-12s %8d %9d %6d %6d %9.1f %9.1f  %s" % (name, row["sent"], row["answered"], row["wrong"],
                                                             row["lost"], row["p50_ms"], row["p99_ms"], others or ""))
            if row["wrong"] or row["lost"] or others:
                problems.append(name)
        duplicate_runs = count_duplicate_runs(fleet, pools)
        print("work that ran twice: %d" % duplicate_runs)
        if duplicate_runs:
            problems.append("doubled work")
        print("store calls: %s" % json.dumps(fleet.counters()))
        for index in range(fleet.count):
            ready, _ = http_request("GET", fleet.admin_port(index), "/readyz")
            if ready != 200:
                problems.append("node %d is not ready" % index)
    if problems:
        print("FAILED: %s; logs are in %s" % (", ".join(problems), work_dir))
        return 1
    shutil.rmtree(work_dir)
    print("every answer was whole, its own, and none was lost")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Checks of the results that callers received against the logs of the endpoints."""

import json


def count_duplicate_runs(fleet, pools):
    """Returns how often an endpoint started work whose idempotency key had already been started."""
    duplicates = 0
    for pool in pools:
        seen_keys = set()
        for run in fleet.read_runs(pool):
            if run["what"] == "started" and run["key"]:
                duplicates += run["key"] in seen_keys
                seen_keys.add(run["key"])
    return duplicates


def read_outcomes(path):
    # The last line may be partly written while the load client runs; it is skipped.
    with open(path) as file:
        return [json.loads(line) for line in file if line.endswith("\n")]


# Outcomes which state that the request did not run.
NOT_RUN_OUTCOMES = ("NOT_RUN", "ATTEMPT_NOT_RUN", "RATE_LIMITED", "CONCURRENCY_LIMITED", "NOT_READY", "QUARANTINED",
                    "CONNECT_FAILED")


def count_false_not_run(fleet, pools, path):
    """Returns the number of idempotency keys that ran although their results deny it: every attempt was reported as
    not run, or NOT_RUN was reported 50 ms or more after the work started."""
    attempts_by_key, first_run_ms = {}, {}
    for line in read_outcomes(path):
        if line["key"]:
            attempts_by_key.setdefault(line["key"], []).append(line)
    for pool in pools:
        for run in fleet.read_runs(pool):
            if run["what"] == "started" and run["key"]:
                first_run_ms.setdefault(run["key"], run["t_ms"])
    false_count = 0
    for key, attempts in attempts_by_key.items():
        if key not in first_run_ms:
            continue
        all_not_run = all(line["outcome"] in NOT_RUN_OUTCOMES for line in attempts)
        not_run_after_start = any(
            line["outcome"] == "NOT_RUN" and line["t_ms"] >= first_run_ms[key] + 50 for line in attempts)
        false_count += all_not_run or not_run_after_start
    return false_count


def count_answered_without_run(fleet, pools, path):
    """Returns the number of keyed attempts with a 200 response whose key no endpoint started."""
    run_keys = {run["key"] for pool in pools for run in fleet.read_runs(pool) if run["what"] == "started"}
    return sum(1 for line in read_outcomes(path)
               if line["key"] and line["outcome"] == "HTTP 200" and line["key"] not in run_keys)

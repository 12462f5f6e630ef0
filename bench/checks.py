"""Checks of what callers were told against the endpoints' own logs."""

import json


def doubled_keys(fleet, pools):
    """Keys of work that ran more than once."""
    doubled = 0
    for pool in pools:
        seen = set()
        for run in fleet.runs(pool):
            if run["what"] == "started" and run["key"]:
                doubled += run["key"] in seen
                seen.add(run["key"])
    return doubled


def outcomes(path):
    with open(path) as file:
        return [json.loads(line) for line in file if line.endswith("\n")]


NOT_RUN = ("NOT_RUN", "ATTEMPT_NOT_RUN", "RATE_LIMITED", "CONCURRENCY_LIMITED", "NOT_READY", "QUARANTINED",
           "CONNECT_FAILED")


def false_not_run(fleet, pools, path):
    """Keys of which every attempt was told that it did not run, yet that ran; and NOT_RUN told after a run."""
    told, ran_at = {}, {}
    for line in outcomes(path):
        if line["key"]:
            told.setdefault(line["key"], []).append(line)
    for pool in pools:
        for run in fleet.runs(pool):
            if run["what"] == "started" and run["key"]:
                ran_at.setdefault(run["key"], run["t_ms"])
    false = 0
    for key, lines in told.items():
        if key not in ran_at:
            continue
        all_not_run = all(line["outcome"] in NOT_RUN for line in lines)
        certain_after = any(line["outcome"] == "NOT_RUN" and line["t_ms"] >= ran_at[key] + 50 for line in lines)
        false += all_not_run or certain_after
    return false


def answered_without_run(fleet, pools, path):
    """Keys answered with 200 that no endpoint ran."""
    ran = {run["key"] for pool in pools for run in fleet.runs(pool) if run["what"] == "started"}
    return sum(1 for line in outcomes(path) if line["key"] and line["outcome"] == "HTTP 200" and line["key"] not in ran)

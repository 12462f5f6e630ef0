"""Scenarios that measure requests that cross the end of their connection."""

import collections
import json
import multiprocessing
import os
import random
import signal
import socket
import threading
import time

from crossing_callers import KINDS, run_callers
from fleet import Pool, http_request, pool_objects
from registry import run_fleet, scenario, start_published

NODES = 6
CALLERS = 40  # Of each kind.
# Nodes give a link up 600 ms after they last received something, and wait 250 ms of these before they ask for it.
LINK_STALL_MS = 350
# What happens to the nodes while callers send: kinds of callers, and share of the time.
PHASES = {
    "sigterm": (sorted(KINDS), 0.64),
    "sighup": (["whole", "streamed", "several"], 0.12),
    "configuration": (["whole", "streamed", "several"], 0.12),
    "calm": (["whole", "streamed", "several"], 0.12),
}


def crossing_objects(pools):
    """Returns an object set with a service for each pool, with a repeatable and an unrepeatable route each."""
    objects = pool_objects(pools)
    objects["services"] = {pool.name: {"pool": pool.name, "floor": 0.5} for pool in pools}
    objects["priorities"] = {"read": {"rank": 1, "max_wait_ms": 2000}}
    objects["routes"] = {}
    for pool in pools:
        route = {"service": pool.name, "priority": "read", "deadline_ms": 10000}
        objects["routes"]["read-" + pool.name] = dict(route, method="GET", path_prefix="/%s/read" % pool.name)
        objects["routes"]["file-" + pool.name] = dict(route, method="POST", path_prefix="/%s/file" % pool.name,
                                                      repeatable=False)
    return objects


def wait_ready(fleet, index, seconds=10):
    deadline = time.time() + seconds
    while time.time() < deadline:
        try:
            if http_request("GET", fleet.admin_port(index), "/readyz", timeout=1)[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError("node %d is not ready in time" % index)


def replace_node(fleet, index, problems):
    """Ends one node with SIGTERM and starts it again after its end."""
    try:
        process = fleet.processes[fleet.node_name(index)]
        process.terminate()
        if process.wait(timeout=70) != 0:
            problems.append("node %d ended with %d" % (index, process.returncode))
        fleet.start_node(index)
        wait_ready(fleet, index)
    except Exception as error:  # The scenario reports it.
        problems.append("node %d: %r" % (index, error))


def terminate_in_turn(fleet, random_source, until, problems):
    """Rounds of SIGTERM to three nodes, 0.2 to 2 s apart. Returns the number of nodes that were replaced."""
    count = 0
    while time.time() < until - 2:
        threads = []
        for index in random_source.sample(range(fleet.count), 3):
            threads.append(threading.Thread(target=replace_node, args=(fleet, index, problems)))
            threads[-1].start()
            count += 1
            time.sleep(random_source.uniform(0.2, 2))
        for thread in threads:
            thread.join()
    return count


def hang_up(fleet, random_source, until, _):
    count = 0
    while time.time() < until:
        for index in range(fleet.count):
            fleet.processes[fleet.node_name(index)].send_signal(signal.SIGHUP)
        count += 1
        time.sleep(random_source.uniform(0.3, 2))
    return count


def configure(fleet, random_source, until, problems):
    count = 0
    while time.time() < until:
        count += 1
        objects = crossing_objects(fleet.pools)
        for service in objects["services"].values():
            service["retry_ratio"] = 0.1 + 0.001 * (count % 100)
        for route in objects["routes"].values():
            route["deadline_ms"] = 10000 + count
        status, body = fleet.publish(objects)
        if status != 200:
            problems.append("publish: %s" % body)
        time.sleep(random_source.uniform(0.2, 0.8))
    return count


def stay_calm(_, __, until, ___):
    time.sleep(max(0, until - time.time()))
    return 0


EVENTS = {"sigterm": terminate_in_turn, "sighup": hang_up, "configuration": configure, "calm": stay_calm}


class StallProbe(threading.Thread):
    """Measures how long the machine kept the nodes' processes waiting at once for a processor (`run`) or for the disk
    (`disk`), ms. Nodes that stall lose their links, so that requests which they run for others end."""

    PERIOD_S = 0.05

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.stop_requested = fleet, threading.Event()
        self.longest_ms = {"run": 0, "disk": 0}
        self.stalls = []

    def run(self):
        run_waits, disk_since = {}, {}
        while not self.stop_requested.is_set():
            now = time.time()
            for index in range(self.fleet.count):
                pid = self.fleet.processes[self.fleet.node_name(index)].pid
                try:
                    run_wait = int(open("/proc/%d/schedstat" % pid).read().split()[1]) / 1e6
                    state = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()[0]
                except (OSError, IndexError):
                    continue
                self.add("run", index, now, run_wait - run_waits.get(pid, run_wait))
                run_waits[pid] = run_wait
                if state == "D":
                    self.add("disk", index, now, (now - disk_since.setdefault(pid, now)) * 1000)
                else:
                    disk_since.pop(pid, None)
            time.sleep(self.PERIOD_S)

    def add(self, what, index, now, wait_ms):
        self.longest_ms[what] = max(self.longest_ms[what], round(wait_ms))
        if wait_ms > 200:
            self.stalls.append((now, self.fleet.node_name(index), what, round(wait_ms)))


def read_node_logs(fleet):
    """Returns the lines of all nodes. `life` tells the processes of one node apart."""
    lines = []
    for index in range(fleet.count):
        life = 0
        with open(os.path.join(fleet.work_dir, fleet.node_name(index) + ".log")) as file:
            for text in file:
                try:
                    line = json.loads(text)
                except ValueError:
                    continue
                life += line["event"] == "started"
                lines.append(dict(line, life=life))
    return sorted(lines, key=lambda line: line["time_us"])


class NodeLogs:
    """The nodes' lines of each request and of each connection."""

    def __init__(self, lines, stalls):
        """`stalls` are those of StallProbe."""
        self.stalls = stalls
        self.of_request, self.of_connection = collections.defaultdict(list), collections.defaultdict(list)
        self.stops = [line for line in lines if line["event"] in ("stopping", "stopped")]
        self.dropped = sum(line.get("lines_dropped_before", 0) for line in lines)
        for line in lines:
            if line.get("internal_id"):
                self.of_request[line["internal_id"].split(".")[0]].append(line)
            if "connection" in line:
                self.of_connection[(line["node"], line["life"], line["connection"])].append(line)

    def stopped_before(self, nodes, at_s, within_s):
        """Whether one of the nodes logged the end of its process up to some time before `at_s`."""
        return any(line["event"] == "stopped" and line["node"] in nodes and
                   -0.01 < at_s - line["time_us"] / 1e6 < within_s for line in self.stops)

    def stalled_before(self, nodes, at_s):
        """Whether the machine kept one of the nodes waiting for long enough to lose its links, up to 2 s before."""
        return any(node in nodes and at_s - 2 < ended_s < at_s + 0.2 and wait_ms > LINK_STALL_MS
                   for ended_s, node, _, wait_ms in self.stalls)

    def related(self, record, lines, shared):
        """Returns the lines to print of a lost request, in order of time."""
        since, until = record["sent_s"] - 1, record["ended_s"] + 0.5
        found = {id(line): line for line in lines + shared + self.stops if since < line["time_us"] / 1e6 < until}
        return sorted(found.values(), key=lambda line: line["time_us"])

    def explain(self, record, run):
        """Returns which hypothesis of issue 40 explains a request that ran and got no response, and its lines."""
        lines = self.of_request[run["request_id"].split(".")[0]]
        ended = [line for line in lines if line["event"] == "request_ended"]
        entry = "n%d" % record["node"]
        # The nodes may have dropped lines. What the caller received behind the close shows hypothesis 1 as well.
        behind_close = record["head_s"] is None and record["bytes_behind_close"] > 0
        if not ended:
            if behind_close:
                return "1 behind a close", self.related(record, lines, [])
            end_of_process = self.stopped_before([entry], record["ended_s"], 0.2)
            return ("4 end of the process" if end_of_process else "no request_ended"), self.related(record, lines, [])
        last = ended[-1]
        shared = self.of_connection[(last["node"], last["life"], last["connection"])]
        related = self.related(record, lines, shared)
        earlier = [line for line in shared if line["event"] == "request_ended" and line is not last and
                   line["time_us"] <= last["time_us"]]
        broken = [line for line in shared if line["event"] == "connection_ended" and line["end"] == "response_missing"]
        dispatchers = {line["node"] for line in lines if line["event"] in ("attempt_ended", "request_finished")}
        dispatchers.add(last["dispatcher"])
        if behind_close or any(line["closes_connection"] for line in earlier):
            return "1 behind a close", related
        broke_off = broken or last["result"] != "OK"
        last_s = last["time_us"] / 1e6
        taken_s = last_s - record["sent_s"]
        if broke_off and record["head_s"] and self.stopped_before(dispatchers - {entry}, last_s, taken_s):
            return "2 end of the dispatcher", related
        if broke_off and self.stalled_before(dispatchers | {entry}, last_s):
            return "broken off, a node waited for a processor", related
        if broken and record["head_s"] is None:
            return "behind a response that broke off", related
        if broke_off:
            return "broken off, no dispatcher ended", related
        if self.stopped_before([entry], record["ended_s"], 0.2):
            return "4 end of the process", related
        if record["end"] == "ConnectionResetError":
            return "4 written, then reset" + ("" if last["closes_connection"] else ", idle"), related
        return "unexplained", related


def match_runs(records, runs):
    """Sets `runs` of each record: the starts of work for it. A repeated request has one record for each attempt."""
    attempts = collections.defaultdict(list)
    for record in records:
        record["runs"] = []
        attempts[record["target"]].append(record)
    for run in runs:
        of_target = attempts.get(run["target"], [])
        before = [record for record in of_target if record["sent_s"] * 1000 <= run["t_ms"] + 1]
        if before:
            before[-1]["runs"].append(run)


def print_trace(phase, record, hypothesis, lines):
    """Prints what the caller, the endpoint and the nodes recorded of a lost request, times in ms after it was sent."""
    start = record["sent_s"]

    def offset(seconds):
        return None if seconds is None else round((seconds - start) * 1000, 1)

    print("lost, %s, %s: %s of connection %s to n%d, hypothesis %s" % (
        phase, record["kind"], record["target"], record["connection"], record["node"], hypothesis))
    print("  caller: sent at 0, whole at %s, close announced at %s, own response begun at %s, connection %s at %s, "
          "%d bytes behind the close" % (
              offset(record["whole_s"]), offset(record["close_announced_s"]), offset(record["head_s"]), record["end"],
              offset(record["ended_s"]), record["bytes_behind_close"]))
    for run in record["runs"]:
        print("  endpoint %d: started at %s as %s, work %s ms" % (
            run["endpoint"], offset(run["t_ms"] / 1000.0), run["request_id"], record["work_ms"]))
    kept = ("internal_id", "connection", "result", "status", "closes_connection", "dispatcher", "outcome", "permitted",
            "latency_ms", "end", "requests", "responses", "discarded_bytes", "reason", "caller_requests")
    for line in lines:
        fields = " ".join("%s=%s" % (name, line[name]) for name in kept if name in line)
        print("  %s at %s: %s %s" % (line["node"], offset(line["time_us"] / 1e6), line["event"], fields), flush=True)


def judge(phase, records, runs, logs):
    """Returns for each kind of caller how its requests ended, and prints traces of the lost ones."""
    match_runs(records, runs)
    result = {}
    for kind in sorted({record["kind"] for record in records}):
        row = {"sent": 0, "answered": 0, "ran": 0, "lost": 0, "sent_behind_close_not_run": 0, "other_not_run": 0,
               "crossed": 0, "ran_twice": 0, "target_lost": 0}
        others, hypotheses = collections.Counter(), collections.Counter()
        ends, statuses = collections.Counter(), collections.Counter()
        runs_of_target = collections.Counter()
        for record in [record for record in records if record["kind"] == kind]:
            answered, ran = record["status"] != 0, bool(record["runs"])
            behind_close = record["close_announced_s"] is not None and record["head_s"] is None
            row["sent"] += 1
            row["answered"] += answered
            row["ran"] += ran
            row["crossed"] += behind_close
            runs_of_target[record["target"]] += len(record["runs"])
            if answered and record["status"] != 200:
                statuses[record["status"]] += 1
            if answered:
                continue
            if ran:
                row["lost"] += 1
                hypothesis, lines = logs.explain(record, record["runs"][-1])
                hypotheses[hypothesis] += 1
                ends[record["end"]] += 1
                if hypotheses[hypothesis] <= 2:
                    print_trace(phase, record, hypothesis, lines)
            elif behind_close:
                row["sent_behind_close_not_run"] += 1
            else:
                row["other_not_run"] += 1
                others["%s, %d before" % (record["end"], record["before"])] += 1
        row["ran_twice"] = sum(count > 1 for count in runs_of_target.values())
        row.update(hypotheses=hypotheses, ends_of_lost=ends, other_statuses=statuses, others=+others)
        result[kind] = row
    return result


def check_stand_ins(fleet):
    """Raises an error if an endpoint process has ended, as when another run has its port and answers in its place."""
    ended = [name for name, process in fleet.processes.items()
             if name.startswith("pool-") and process.poll() is not None]
    if ended:
        raise RuntimeError("%s ended; choose another FESCUE_PORT_SHIFT if other runs use the ports" % ", ".join(ended))


def run_phase(fleet, phase, seconds, seed):
    """Runs the callers of one phase while its events happen, and returns its row of the result."""
    check_stand_ins(fleet)
    kinds, _ = PHASES[phase]
    names = os.environ.get("FESCUE_KINDS")
    kinds = [kind for kind in kinds if not names or kind in names.split(",")]
    ports = [fleet.caller_port(i) for i in range(fleet.count)]
    until, problems, workers, paths, probe = time.time() + seconds, [], [], [], StallProbe(fleet)
    for kind in kinds:
        paths.append(os.path.join(fleet.work_dir, "records-%s-%s.jsonl" % (phase, kind)))
        workers.append(multiprocessing.get_context("fork").Process(
            target=run_callers,
            args=(kind, CALLERS, ports, [pool.name for pool in fleet.pools], seed, until, paths[-1])))
        workers[-1].start()
    probe.start()  # Only now, as processes with threads must not fork.
    time.sleep(1)
    count = EVENTS[phase](fleet, random.Random("%d %s" % (seed, phase)), until, problems)
    records = []
    for worker, path in zip(workers, paths):
        worker.join(max(1, until + 40 - time.time()))
        if worker.exitcode != 0:
            worker.kill()
            problems.append("callers of %s: exit code %s" % (path, worker.exitcode))
            continue
        with open(path) as file:
            records += [json.loads(line) for line in file]
    probe.stop_requested.set()
    time.sleep(0.3)  # The nodes write their logs in batches.
    since = (until - seconds) * 1000
    logs = NodeLogs([line for line in read_node_logs(fleet) if line["time_us"] / 1000 >= since], probe.stalls)
    runs = [run for pool in fleet.pools for run in fleet.read_runs(pool)
            if run["what"] == "started" and run["t_ms"] >= since]
    return {"events": count, "problems": problems, "log_lines_dropped": logs.dropped,
            "longest_node_waits_ms": probe.longest_ms,
            "kinds": judge(phase, records, runs, logs)}


@scenario
def crossing():
    """Requests that run and get no response, sent when the response to the one before is due, while nodes are ended
    and started again, get SIGHUP, get new configurations, or nothing happens to them."""
    seconds = float(os.environ.get("FESCUE_SECONDS", "50"))
    phases = os.environ.get("FESCUE_PHASES", ",".join(PHASES)).split(",")
    result = {"target_lost": 0, "lost": 0}
    for seed in [int(s) for s in os.environ.get("FESCUE_SEEDS", "1").split(",")]:
        pools = [Pool("p%d" % i, 2, 50, 24000 + i * 100) for i in range(6)]
        with run_fleet("crossing-%d" % seed, "fair", None, pools, nodes=NODES, seed=seed) as fleet:
            start_published(fleet, crossing_objects(pools))
            for phase in phases:
                row = run_phase(fleet, phase, seconds * PHASES[phase][1], seed)
                result["%s-%d" % (phase, seed)] = row
                result["lost"] += sum(kind["lost"] for kind in row["kinds"].values())
    return result


# Callers that leave: what they send on a connection, with its time in s, when the node gets SIGTERM (None: not), and
# when they close the connection.
LEAVES = {
    "open": ([(0, "HTTP/1.1\r\n", 1500)], None, 0.6),
    "draining, more may be read": ([(0, "HTTP/1.1\r\n", 1500)], 0.2, 0.6),
    "draining, the last is read": ([(0, "HTTP/1.1\r\n", 1500), (0.3, "HTTP/1.1\r\n", 1500)], 0.2, 0.6),
    "asked for the close": ([(0, "HTTP/1.1\r\nConnection: close\r\n", 1500)], None, 0.6),
    "HTTP/1.0": ([(0, "HTTP/1.0\r\n", 1500)], None, 0.6),
    "asked for the close, another behind": (
        [(0, "HTTP/1.1\r\nConnection: close\r\n", 1500), (0.1, "HTTP/1.1\r\n", 1500)], None, 0.6),
    "draining, streamed": ([(0, "HTTP/1.1\r\nAnswer-Bytes: 30000000\r\n", 400)], 0.2, 1.0),
}


def leave_once(fleet, name, trial):
    """Plays one row of LEAVES. Returns for each request when its attempt and it itself ended, ms after the caller left,
    and how."""
    sends, terminate_at, leave_at = LEAVES[name]
    handle = socket.create_connection(("127.0.0.1", fleet.caller_port(0)))
    start, targets, process = time.time(), [], fleet.processes[fleet.node_name(0)]
    steps = [(at, "send", (line, work_ms)) for at, line, work_ms in sends] + [(leave_at, "leave", None)]
    steps += [(terminate_at, "terminate", None)] if terminate_at is not None else []
    for at, what, request in sorted(steps, key=lambda step: step[0]):
        time.sleep(max(0, start + at - time.time()))
        if what == "send":
            targets.append("/p/read/leave-%d-%d-%d" % (sorted(LEAVES).index(name), trial, len(targets)))
            handle.sendall(("GET %s %sHost: leaving\r\nWork-Ms: %d\r\n\r\n" % (
                targets[-1], request[0], request[1])).encode())
        elif what == "terminate":
            process.terminate()
        else:
            handle.close()
            left_s = time.time()
    time.sleep(2.5)
    if terminate_at is not None:
        process.wait(timeout=70)
        fleet.start_node(0)
        wait_ready(fleet, 0)
        fleet.wait_members()
    lines = read_node_logs(fleet)
    rows = []
    for target in targets:
        starts = [run for run in fleet.read_runs(fleet.pools[0])
                  if run["target"] == target and run["what"] == "started"]
        if not starts:
            rows.append("not run")
            continue
        own = [line for line in lines if line.get("internal_id") == starts[0]["request_id"]]
        ends = {line["event"]: line for line in own if line["event"] in ("attempt_ended", "request_ended")}
        rows.append({event: [round(line["time_us"] / 1000 - left_s * 1000), line.get("outcome", line.get("result"))]
                     for event, line in sorted(ends.items())})
    return rows


@scenario
def leaving_callers():
    """Time from a caller's leaving to the cancellation of its work, by what its connection may still carry."""
    result, trials = {}, int(os.environ.get("FESCUE_TRIALS", "2"))
    pool = Pool("p", 4, 10, 24000)
    with run_fleet("leaving-callers", "fair", None, [pool], nodes=2) as fleet:
        start_published(fleet, crossing_objects([pool]))
        for name in LEAVES:
            result[name] = [leave_once(fleet, name, trial) for trial in range(trials)]
            print(json.dumps({name: result[name]}), flush=True)
    return result


# Callers that read late: work of the first request, and times in s after it was sent: SIGTERM to the node, another
# request (None: none), begin of reading. Last, the node's leave_notice_ms.
LATE_READERS = {
    "nothing behind": (100, 0.05, None, 1.2, 300),
    "sent before the port closes": (100, 0.05, 0.25, 1.2, 300),
    "sent after the port closes": (100, 0.05, 0.45, 1.2, 300),
    "idle, nothing behind": (100, 0.3, None, 1.2, 300),
    "idle, sent after the port closes": (100, 0.3, 0.8, 1.2, 300),
    "port open, sent 0.3 s after the response": (100, 0.05, 0.4, 1.2, 3000),
    "port open, sent 0.7 s after the response": (100, 0.05, 0.8, 1.2, 3000),
}
LATE_BYTES = 500_000


def read_late(fleet, name, trial):
    """Plays one row of LATE_READERS. Returns how many bytes of the first response the caller got, and how it ended."""
    work_ms, terminate_at, send_at, read_at, _ = LATE_READERS[name]
    handle = socket.socket()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    handle.settimeout(10)
    handle.connect(("127.0.0.1", fleet.caller_port(0)))
    start, process = time.time(), fleet.processes[fleet.node_name(0)]
    text = "GET /p/read/late-%d-%d-%%d HTTP/1.1\r\nHost: late\r\nWork-Ms: %d\r\nAnswer-Bytes: %d\r\n\r\n" % (
        sorted(LATE_READERS).index(name), trial, work_ms, LATE_BYTES)
    handle.sendall((text % 0).encode())
    for at, what in sorted([(terminate_at, "terminate")] + ([(send_at, "send")] if send_at is not None else [])):
        time.sleep(max(0, start + at - time.time()))
        if what == "terminate":
            process.terminate()
            continue
        try:
            handle.sendall((text % 1).encode())
        except OSError:
            pass
    time.sleep(max(0, start + read_at - time.time()))
    data, end = b"", "closed"
    try:
        while True:
            piece = handle.recv(65536)
            if not piece:
                break
            data += piece
    except OSError as error:
        end = type(error).__name__
    handle.close()
    process.wait(timeout=70)
    head, _, body = data.partition(b"\r\n\r\n")
    ran = sorted({run["target"][-1] for run in fleet.read_runs(fleet.pools[0])
                  if run["what"] == "started" and run["target"].startswith(text.split()[1][:-2])})
    return {"got": min(len(body), LATE_BYTES), "whole": len(body) >= LATE_BYTES, "end": end,
            "close_announced": b"connection: close" in head.lower(), "ran": len(ran)}


@scenario
def late_readers():
    """Responses that a stopping node has written to the socket and its caller, which reads late, does not get whole."""
    result, trials = {"target_lost": 0, "lost": 0}, int(os.environ.get("FESCUE_TRIALS", "2"))
    pool = Pool("p", 4, 10, 24000)
    with run_fleet("late-readers", "fair", None, [pool], nodes=2) as fleet:
        start_published(fleet, crossing_objects([pool]))
        for name, row in LATE_READERS.items():
            result[name] = []
            for trial in range(trials):
                fleet.processes[fleet.node_name(0)].terminate()
                fleet.processes[fleet.node_name(0)].wait(timeout=70)
                fleet.start_node(0, leave_notice_ms=row[4])
                wait_ready(fleet, 0)
                fleet.wait_members()
                result[name].append(read_late(fleet, name, trial))
                result["lost"] += not result[name][-1]["whole"]
                fleet.start_node(0)
                wait_ready(fleet, 0)
            print(json.dumps({name: result[name]}), flush=True)
    return result


# Bytes of responses that wait at their entry host behind another of the same connection while their dispatcher ends.
WAITING_BYTES = (100_000, 400_000, 600_000, 700_000, 1_500_000)


def wait_behind(fleet, services, bytes_of_second, trial):
    """Sends two requests on one connection to node 0; node 1 dispatches the second and gets SIGTERM while its response
    waits for the first one's. Returns how much of the second response arrived."""
    targets = ["/%s/read/first-%d-%d" % (services[0], bytes_of_second, trial),
               "/%s/read/second-%d-%d" % (services[1], bytes_of_second, trial)]
    handle = socket.create_connection(("127.0.0.1", fleet.caller_port(0)), timeout=10)
    line = "GET %s HTTP/1.1\r\nHost: waiting\r\nWork-Ms: %d\r\nAnswer-Bytes: %d\r\n%s\r\n"
    handle.sendall((line % (targets[0], 1800, 10, "")).encode())
    handle.sendall((line % (targets[1], 200, bytes_of_second, "Connection: close\r\n")).encode())
    time.sleep(0.1)
    process = fleet.processes[fleet.node_name(1)]
    process.terminate()
    start, data = time.time(), b""
    process.wait(timeout=70)
    dispatcher_s = time.time() - start
    try:
        while True:
            piece = handle.recv(65536)
            if not piece:
                break
            data += piece
    except OSError:
        pass
    handle.close()
    fleet.start_node(1)
    wait_ready(fleet, 1)
    fleet.wait_members()
    # The bodies consist of x; the first one has 10 bytes.
    got = max(0, data.count(b"x") - 10)
    return {"heads": data.count(b"HTTP/1.1 200"), "got": got, "whole": got >= bytes_of_second,
            "dispatcher_ended_s": round(dispatcher_s, 2)}


@scenario
def waiting_responses():
    """Responses that are broken off because their dispatcher ended while they waited at the entry host, by size."""
    result, trials = {"target_lost": 0, "lost": 0}, int(os.environ.get("FESCUE_TRIALS", "2"))
    pools = [Pool("p%d" % i, 2, 10, 24000 + i * 100) for i in range(8)]
    with run_fleet("waiting", "fair", None, pools, nodes=2) as fleet:
        start_published(fleet, crossing_objects(pools))
        time.sleep(1)
        for size in WAITING_BYTES:
            result[size] = []
            for trial in range(trials):
                owners = {pool.name: fleet.owner(pool.name) for pool in pools}
                services = [min(name for name, owner in owners.items() if owner == node) for node in ("n0", "n1")]
                result[size].append(wait_behind(fleet, services, size, trial))
                result["lost"] += not result[size][-1]["whole"]
            print(json.dumps({size: result[size]}), flush=True)
    return result

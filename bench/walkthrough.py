"""Runs the marked blocks of docs/OPERATIONS.md against a fleet and checks what they print."""

import os
import re
import shutil
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

from fleet import RECEIPT_KEY, ROOT, Fleet, authority_pools, example_objects, stream

# What the output of each block must contain.
EXPECTED = [
    [r"n0 +alive +az0 +1 +yes +up", r"n3 +alive"],
    [r"0 OK: Done", r"changed accounts/caseworkers", r"revision 2", r"n0 +alive +az0 +2 +yes", r"n3 +alive +az3 +2 +yes",
     r" 2  .* operator "],
    [r"service disbursement, dispatcher n\d", r"records-3 +(ejected|canary|ramping).*(fails real work|canary|stay|ramp)"],
    [r"revision 3", r"status-0 +healthy +out of service", r"revision 4"],
    [r"reached dispatcher n\d of service records", r"was served before request", r"has rank 1, which goes before archive",
     r"The receipt is genuine"],
]


def blocks():
    with open(os.path.join(ROOT, "docs", "OPERATIONS.md")) as file:
        return re.findall(r"```sh walkthrough\n(.*?)```", file.read(), re.S)


def fetch(fleet, path, key, work_ms, answers):
    request = urllib.request.Request("http://127.0.0.1:%d%s" % (fleet.caller(1), path))
    request.add_header("X-Api-Key", key)
    request.add_header("Work-Ms", str(work_ms))
    with urllib.request.urlopen(request, timeout=60) as answer:
        answers.append((answer.headers["Fescue-Request-Id"], answer.headers["Fescue-Receipt"]))


def make_overtaking(fleet):
    """Fills the slots, lets an archive wait and a short request overtake it; returns both and a receipt."""
    archives, short = [], []
    threads = [threading.Thread(target=fetch, args=(fleet, "/archive/%d" % i, "assessor-key", 700, archives))
               for i in range(60)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    fetch(fleet, "/records/1", "caseworker-key", 10, short)
    for thread in threads:
        thread.join()
    return archives[-1][0], short[0][0], short[0][1]


def main():
    work = tempfile.mkdtemp(prefix="fescueramp-walkthrough-")
    pools = authority_pools(22000)
    script = "set -euo pipefail\ncd %s\n" % ROOT
    with Fleet(work, nodes=4, pools=pools, base_port=23000) as fleet:
        fleet.publish(example_objects(pools))
        fleet.wait_revision(1)
        fleet.endpoint_faults(pools[2], 3, error_rate=0.6)
        fleet.load([stream("records", 150, "/records/{n}", 20)], 4)
        first, second, receipt = make_overtaking(fleet)
        for name, text in (("first-request", first), ("second-request", second), ("receipt", receipt),
                           ("receipt-key", RECEIPT_KEY)):
            with open(os.path.join(work, name), "w") as file:
                file.write(text)
        preface = ""
        for number, block in enumerate(blocks()):
            # The documents' commands are run from the root; their files are kept in the work folder.
            text = re.sub(r"\b(set\.json|first-request|second-request|receipt-key)\b", work + r"/\1", block)
            text = text.replace("cat receipt)", "cat %s/receipt)" % work)
            if number == 0:
                preface = "\n".join(text.splitlines()[:2]) + "\n"
            done = subprocess.run(["bash", "-c", script + preface + text], capture_output=True, text=True)
            print(done.stdout + done.stderr)
            missing = [e for e in EXPECTED[number] if not re.search(e, done.stdout)]
            if done.returncode != 0 or missing:
                print("FAILED: block %d ended with %d, missing %s; logs are in %s" % (number, done.returncode, missing, work))
                return 1
    shutil.rmtree(work)
    print("the walkthrough's %d blocks gave the answers that the documents promise" % len(EXPECTED))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Records the golden trace of a session on one node with reads, filings, a failing endpoint and a drain."""

import os
import shutil
import sys
import tempfile

from fleet import ROOT, Fleet, Pool, stream
from registry import one_pool_objects, start_published


def main():
    work_dir = tempfile.mkdtemp(prefix="fescueramp-golden-")
    pool = Pool("dossier", 4, 2, 24000)
    trace_path = os.path.join(work_dir, "trace.jsonl")
    with Fleet(work_dir, nodes=1, pools=[pool], base_port=21000, settings={"trace_file": trace_path}) as fleet:
        objects = one_pool_objects(pool)
        start_published(fleet, objects)
        fleet.endpoint_faults(pool, 2, error_rate=0.8)
        plan = [stream("read", 60, "/read/{n}", 15), stream("file", 10, "/file/{n}", 20, method="POST", keyed=True),
                stream("archive", 5, "/archive/{n}", 300)]
        fleet.load(plan, 2)
        objects["endpoints"]["dossier-1"]["admin_state"] = "draining"
        print(fleet.publish(objects))
        fleet.load(plan, 1, run="after")
        fleet.processes["n0"].terminate()
        fleet.processes["n0"].wait()
    shutil.copy(trace_path, os.path.join(ROOT, "unit_tests", "golden", "session.jsonl"))
    shutil.rmtree(work_dir)
    return 0


if __name__ == "__main__":
    sys.exit(main())

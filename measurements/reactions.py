"""Reaction times of a site of separate processes on loopback.

Edits: from the call until in force at all daemons. Failure of a group member: until its
group is no longer reported as serving, and until it serves again.

Run: ``.venv/bin/python -m measurements.reactions``
"""

import json
import time

import numpy as np

from harness import LocalSite, SiteShape, VmShape

EDIT_COUNT = 12
FAILURE_COUNT = 6
LARGE = {"pool": "large", "site": "stations"}
ROSTER = {"pool": "small", "site": "stations"}
APRON = {"pool": "large", "site": "apron"}
TUGS = {"pool": "small", "site": "apron"}
SHAPE = SiteShape(
    gateways=("dc1", "dc2", "dc3", "dc1"),
    controllers=("dc1", "dc2", "dc3", "dc1"),
    vms=(
        VmShape("a", 6, "d1", labels=LARGE),
        VmShape("b", 6, "d2", labels=LARGE),
        VmShape("r", 1, "d1", kind="service", labels=ROSTER),
        VmShape("e", 5, "d3", labels=APRON),
        VmShape("t", 1, "d3", kind="service", labels=TUGS),
    ),
    log_level="warning",
)


def print_durations(title, durations_s):
    """Print median, maximum and number of some durations in seconds."""
    array = np.array(durations_s)
    print(
        f"{title}: p50 {np.percentile(array, 50):.2f} s, max {array.max():.2f} s, "
        f"n {len(array)}",
        flush=True,
    )


def measure_edits(site, edit_count=EDIT_COUNT):
    """Return the seconds that each of some edits takes until it is in force."""
    durations_s = []
    for _ in range(edit_count):
        configuration = site.get(
            "c1", "/v1/configuration", token="token-of-the-demo-operator"
        )
        value = {
            "on": "vm",
            "selector": "pool=large",
            "set": {"note": f"n{time.time_ns()}"},
        }
        body = {
            "edit_id": f"measured-{time.time_ns()}",
            "base_revision": configuration["revision"],
            "changes": [{"kind": "label", "name": "note", "value": value}],
            "wait_s": 50,
        }
        started_s = time.perf_counter()
        status, edit_result = site.post(
            "c1", "/v1/edits", body, token="token-of-the-demo-operator"
        )
        assert status == 200 and edit_result["accepted"], json.dumps(edit_result)
        durations_s.append(time.perf_counter() - started_s)
    return durations_s


def _group(site, name):
    return next(g for g in site.status()["groups"] if g["group"] == name)


def measure_member_failures(site):
    """Return seconds until a group stops serving, and until it serves again."""
    until_down_s, until_serving_s = [], []
    for _ in range(FAILURE_COUNT):
        site.wait_for_groups(4)
        group = next(
            g for g in site.status()["groups"] if g["declaration"] == "drafting"
        )
        failed_vm = group["members"][1]
        failed_at_s = time.perf_counter()
        site.set_faults(failed_vm, dead=True)
        site.wait_for(lambda g=group: not _group(site, g["group"])["serving"], "down")
        until_down_s.append(time.perf_counter() - failed_at_s)
        site.wait_for(lambda g=group: _group(site, g["group"])["serving"], "back")
        until_serving_s.append(time.perf_counter() - failed_at_s)
        site.control_vm(failed_vm, "restart")
    return until_down_s, until_serving_s


def main():
    """Print the reaction times of edits and of failures."""
    with LocalSite(SHAPE) as site:
        site.cli("apply", "demo/configuration")
        site.wait_for_groups(4)
        print_durations("edit in force at 8 daemons", measure_edits(site))
        until_down_s, until_serving_s = measure_member_failures(site)
        print_durations("failure until not serving", until_down_s)
        print_durations("failure until serving again", until_serving_s)
        site.pause("g4")
        print_durations("edit in force, one daemon paused", measure_edits(site, 1))


if __name__ == "__main__":
    main()

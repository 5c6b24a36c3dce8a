"""How fast the system reacts, over separate processes on loopback.

Edits: from the call to in force everywhere. A member's death: until its group is no
longer reported as serving, and until it serves again.

Run: ``.venv/bin/python -m measurements.reactions``
"""

import json
import time

import numpy as np

from harness import LocalSite, SiteShape, VmShape

EDITS = 12
DEATHS = 6
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


def show(title, values):
    """Print the spread of some durations."""
    array = np.array(values)
    print(
        f"{title}: p50 {np.percentile(array, 50):.2f} s, max {array.max():.2f} s, "
        f"n {len(array)}",
        flush=True,
    )


def edits(site, number=EDITS):
    """Return seconds to acceptance by the controllers' own clock, and by the CLI."""
    took = []
    for _ in range(number):
        answer = site.get("c1", "/v1/configuration", token="token-of-the-demo-operator")
        value = {
            "on": "vm",
            "selector": "pool=large",
            "set": {"note": f"n{time.time_ns()}"},
        }
        body = {
            "edit_id": f"measured-{time.time_ns()}",
            "base_revision": answer["revision"],
            "changes": [{"kind": "label", "name": "note", "value": value}],
            "wait_s": 50,
        }
        started = time.perf_counter()
        status, made = site.post(
            "c1", "/v1/edits", body, token="token-of-the-demo-operator"
        )
        assert status == 200 and made["accepted"], json.dumps(made)
        took.append(time.perf_counter() - started)
    return took


def _group(site, name):
    return next(g for g in site.status()["groups"] if g["group"] == name)


def deaths(site):
    """Return seconds until a group does not serve, and until it serves again."""
    down, back = [], []
    for _ in range(DEATHS):
        site.wait_for_groups(4)
        group = next(
            g for g in site.status()["groups"] if g["declaration"] == "drafting"
        )
        victim = group["members"][1]
        died = time.perf_counter()
        site.set_faults(victim, dead=True)
        site.wait_for(lambda g=group: not _group(site, g["group"])["serving"], "down")
        down.append(time.perf_counter() - died)
        site.wait_for(lambda g=group: _group(site, g["group"])["serving"], "back")
        back.append(time.perf_counter() - died)
        site.control_vm(victim, "restart")
    return down, back


def main():
    """Measure and print."""
    with LocalSite(SHAPE) as site:
        site.cli("apply", "demo/configuration")
        site.wait_for_groups(4)
        show("edit in force at 8 daemons", edits(site))
        down, back = deaths(site)
        show("death until not serving", down)
        show("death until serving again", back)
        site.pause("g4")
        show("edit in force, one daemon frozen", edits(site, 1))


if __name__ == "__main__":
    main()

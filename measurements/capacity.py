"""Slopes for docs/CAPACITY.md: what one daemon spends for control.

Real processes: memory and processor time of gateways and controllers as daemons are
added. In process: processor time, bytes and memory of heartbeats, records, decisions
and checks, as members, groups, VMs and workspaces grow.

Run: ``.venv/bin/python -m measurements.capacity``
"""

import gc
import time
import tracemalloc

import msgspec

from cowslipcourse.adapters.peer import codec
from cowslipcourse.config import Configuration, resolve
from cowslipcourse.daemon.reports import GroupReport, decode_report
from cowslipcourse.fleet import VM, GroupMember, GroupSpec, TargetKind, VmState
from cowslipcourse.membership import (
    Member,
    MembershipNode,
    MembershipTimes,
    Record,
    Revision,
    Role,
)
from cowslipcourse.ports import EngineLoad
from harness import LocalSite, SiteShape, VmShape
from measurements.gateway_path import cpu_s

WATCH_S = 12.0
TIMES = MembershipTimes()


def timed(action, number):
    """Return seconds of processor time for one call."""
    started = time.process_time()
    for _ in range(number):
        action()
    return (time.process_time() - started) / number


def member(index):
    """Return some member."""
    role = Role.GATEWAY if index % 2 else Role.CONTROLLER
    name = f"daemon-{index}"
    address = f"10.0.{index % 250}.{index // 250}:7000"
    return Member(name, f"{index:012x}", role, "dc1", address, f"http://{address}")


def fleet(size):
    """Return a node that has heard every member, and its members."""
    members = {m.name: m for m in (member(i) for i in range(size))}
    revision = Revision(0, {}, {}, 0).next(members, 0)
    node = MembershipNode(members["daemon-0"], TIMES)
    node.handle_table_revision(revision, 0.0, 0.0)
    for other in node.peers:
        peer = MembershipNode(other, TIMES)
        peer.handle_table_revision(revision, 0.0, 0.0)
        answer = peer.answer(node.build_heartbeat(other, 0.0), 0.0)
        node.handle_heartbeat_answer(other, answer, 0.0, 0.0)
    return node, members


def heartbeats():
    """Cost of heartbeats and of the serving rule as members grow."""
    print("members: heartbeat us (both ends, codec), bytes, judge us, head row bytes")
    for size in (8, 16, 64, 205, 410):
        node, members = fleet(size)
        other = node.peers[0]
        peer = MembershipNode(other, TIMES)
        peer.handle_table_revision(node.revision, 0.0, 0.0)

        def exchange(node=node, peer=peer, other=other):
            request = codec.encode_heartbeat(node.build_heartbeat(other, 0.1))
            data = request.SerializeToString()
            answer = peer.answer(codec.decode_heartbeat(request), 0.1)
            reply = codec.encode_heartbeat_answer(answer)
            reply.SerializeToString()
            node.handle_heartbeat_answer(
                other, codec.decode_heartbeat_answer(reply), 0.1, 0.1
            )
            return len(data) + reply.ByteSize()

        size_bytes = exchange()
        cost = timed(exchange, 400)
        judge = timed(lambda node=node: node.may_serve(0.1), 200)
        head = len(msgspec.json.encode(codec.members_to_rows(members)))
        print(f"  {size:4}: {cost * 1e6:6.0f} {size_bytes:5} {judge * 1e6:7.0f} {head}")


def group_report(index, vms=16):
    """Return some group's report."""
    members = tuple(
        GroupMember(f"vm-{index}-{i}", f"{i:08x}", f"http://10.1.{index}.{i}:9000")
        for i in range(vms)
    )
    spec = GroupSpec(
        f"drafting-{index:06x}", "d1", "dc1", "drafting", "m", "1", (), 1, members
    )
    return GroupReport(spec, True, "", EngineLoad(10, 0, 32, 0.02))


def records():
    """Size and cost of group reports."""
    report = group_report(1)
    encoded = msgspec.json.encode(report)
    record = Record("group/d1/drafting-000001", 1, 1, encoded, 0.0, "c1")
    encode = timed(lambda: msgspec.json.encode(report), 2000)
    decode = timed(lambda: decode_report(record), 2000)
    print(
        f"group report of 16 VMs: {len(encoded)} bytes, encode {encode * 1e6:.0f} us, "
        f"decode {decode * 1e6:.0f} us"
    )
    gc.collect()
    tracemalloc.start()
    kept = [decode_report(record) for _ in range(200)]
    size = tracemalloc.get_traced_memory()[0] / len(kept)
    tracemalloc.stop()
    print(f"  kept: {size:.0f} bytes a group")


def resolving():
    """Cost of applying selectors to the fleet."""
    print("VMs: resolve ms, bytes of a configuration of 40 objects, bytes a VM kept")
    objects = {
        "model": {"m": {"version": "1", "weights_bytes": 1}},
        "group": {
            f"g{i}": {"model": "m", "vms": f"n=v{i}", "vms_per_group": 4, "count": 1}
            for i in range(13)
        },
        "workspace": {
            f"w{i}": {"key_sha256": f"{i:064x}", "labels": {"s": "x"}}
            for i in range(13)
        },
        "placement": {
            f"p{i}": {"model": "m", "workspaces": "s=x", "groups": f"name=g{i}"}
            for i in range(13)
        },
    }
    configuration = Configuration.model_validate(objects)
    content = len(msgspec.json.encode(configuration.model_dump(mode="json")))
    for number in (50, 300, 1200):
        gc.collect()
        tracemalloc.start()
        vms = [
            VM(
                f"vm{i}",
                f"d{i // 80}",
                "dc1",
                f"http://10.1.0.{i}:1",
                "a",
                8,
                TargetKind.ENGINE,
                VmState.LIVE,
                {"n": f"v{i % 13}", "domain": f"d{i // 80}"},
            )
            for i in range(number)
        ]
        kept = resolve(configuration, vms)
        size = tracemalloc.get_traced_memory()[0] / number
        tracemalloc.stop()
        cost = timed(lambda vms=vms: resolve(configuration, vms), 3)
        print(f"  {number:5}: {cost * 1e3:7.1f} {content} {size:.0f} {len(kept.vms)}")


def memory_mb(process):
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{process.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def processes():
    """Idle daemons as separate processes: memory, processor time, table calls."""
    print(
        "daemons: MB and % of a core, gateway and controller; table reads/s, commits/s"
    )
    large = {"pool": "large", "site": "stations"}
    small = {"pool": "small", "site": "stations"}
    for pairs in (2, 4, 8):
        centres = tuple(f"dc{i % 3 + 1}" for i in range(pairs))
        vms = (
            VmShape("a", 25, "d1", labels=large),
            VmShape("b", 25, "d2", labels=large),
        )
        apron = (
            VmShape("e", 4, "d3", labels={**large, "site": "apron"}),
            VmShape("r", 3, "d1", kind="service", labels=small),
            VmShape("t", 1, "d3", kind="service", labels={**small, "site": "apron"}),
        )
        shape = SiteShape(centres, centres, (*vms, *apron), log_level="warning")
        with LocalSite(shape) as site:
            site.cli("apply", "demo/configuration")
            site.wait_groups(4)
            before = {n: cpu_s(p) for n, p in site.processes.items()}
            counts = site.history()["table"]
            time.sleep(WATCH_S)
            after = site.history()["table"]
            parts = []
            for names in (site.gateway_names, site.controller_names):
                used = [cpu_s(site.processes[n]) - before[n] for n in names]
                memory = [memory_mb(site.processes[n]) for n in names]
                share = sum(used) / len(used) / WATCH_S
                parts.append(
                    f"{max(memory):5.1f} MB {share:5.2%} (max "
                    f"{max(used) / WATCH_S:5.2%})"
                )
            reads = (after["reads"] - counts["reads"]) / WATCH_S
            commits = (after["commits"] - counts["commits"]) / WATCH_S
            print(
                f"  {2 * pairs:3}: {parts[0]}  {parts[1]}  {reads:.1f} {commits:.1f}",
                flush=True,
            )


def bare_process():
    """Memory of an interpreter that has only imported what a daemon imports."""
    import subprocess
    import sys

    code = (
        "import cowslipcourse.gateway.main, os;"
        "print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    print("bare process with a gateway's imports:", done.stdout.strip())


def main():
    """Print all slopes."""
    heartbeats()
    records()
    resolving()
    bare_process()
    processes()


if __name__ == "__main__":
    main()

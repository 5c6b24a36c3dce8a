"""Control-plane cost of one daemon, for docs/CAPACITY.md.

Separate processes: memory and processor time of gateways and controllers by number of
daemons. Within this process: processor time, bytes and memory of heartbeats, records,
decisions and checks by number of members, groups, VMs and workspaces.

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

MEASUREMENT_S = 12.0
MEMBERSHIP_TIMES = MembershipTimes()


def cpu_s_per_call(action, calls):
    """Return the processor time of one call in seconds, as a mean.

    :param action: function without parameters.
    :param calls: number of calls.
    """
    started_s = time.process_time()
    for _ in range(calls):
        action()
    return (time.process_time() - started_s) / calls


def make_member(index):
    """Return the member with an index; gateways and controllers alternate."""
    role = Role.GATEWAY if index % 2 else Role.CONTROLLER
    name = f"daemon-{index}"
    address = f"10.0.{index % 250}.{index // 250}:7000"
    return Member(name, f"{index:012x}", role, "dc1", address, f"http://{address}")


def make_node(member_count):
    """Return a node with an answer of every other member, and all members by name."""
    members = {
        member.name: member for member in (make_member(i) for i in range(member_count))
    }
    revision = Revision(0, {}, {}, 0).next(members, 0)
    node = MembershipNode(members["daemon-0"], MEMBERSHIP_TIMES)
    node.handle_table_revision(revision, 0.0, 0.0)
    for other in node.peers:
        peer = MembershipNode(other, MEMBERSHIP_TIMES)
        peer.handle_table_revision(revision, 0.0, 0.0)
        answer = peer.answer(node.build_heartbeat(other, 0.0), 0.0)
        node.handle_heartbeat_answer(other, answer, 0.0, 0.0)
    return node, members


def measure_heartbeats():
    """Print the cost of heartbeats and of the serving rule by number of members."""
    print(
        "members: heartbeat us (both ends, codec), bytes, serving rule us, "
        "head row bytes"
    )
    for member_count in (8, 16, 64, 205, 410):
        node, members = make_node(member_count)
        other = node.peers[0]
        peer = MembershipNode(other, MEMBERSHIP_TIMES)
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

        heartbeat_bytes = exchange()
        heartbeat_s = cpu_s_per_call(exchange, 400)
        serving_rule_s = cpu_s_per_call(lambda node=node: node.may_serve(0.1), 200)
        head_row_bytes = len(msgspec.json.encode(codec.members_to_rows(members)))
        print(
            f"  {member_count:4}: {heartbeat_s * 1e6:6.0f} {heartbeat_bytes:5} "
            f"{serving_rule_s * 1e6:7.0f} {head_row_bytes}"
        )


def make_group_report(index, vm_count=16):
    """Return the report of a group with an index."""
    members = tuple(
        GroupMember(f"vm-{index}-{i}", f"{i:08x}", f"http://10.1.{index}.{i}:9000")
        for i in range(vm_count)
    )
    spec = GroupSpec(
        f"drafting-{index:06x}", "d1", "dc1", "drafting", "m", "1", (), 1, members
    )
    return GroupReport(spec, True, "", EngineLoad(10, 0, 32, 0.02))


def measure_group_reports():
    """Print the size of group reports and the cost of their codec."""
    report = make_group_report(1)
    encoded = msgspec.json.encode(report)
    record = Record("group/d1/drafting-000001", 1, 1, encoded, 0.0, "c1")
    encode_s = cpu_s_per_call(lambda: msgspec.json.encode(report), 2000)
    decode_s = cpu_s_per_call(lambda: decode_report(record), 2000)
    print(
        f"group report of 16 VMs: {len(encoded)} bytes, "
        f"encode {encode_s * 1e6:.0f} us, decode {decode_s * 1e6:.0f} us"
    )
    gc.collect()
    tracemalloc.start()
    decoded_reports = [decode_report(record) for _ in range(200)]
    bytes_per_report = tracemalloc.get_traced_memory()[0] / len(decoded_reports)
    tracemalloc.stop()
    print(f"  decoded: {bytes_per_report:.0f} bytes of memory per report")


def measure_resolving():
    """Print the cost of applying selectors to the fleet by number of VMs."""
    print(
        "VMs: resolve ms, bytes of a configuration of 40 objects, "
        "bytes of memory per VM, resolved VMs"
    )
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
    configuration_bytes = len(
        msgspec.json.encode(configuration.model_dump(mode="json"))
    )
    for vm_count in (50, 300, 1200):
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
            for i in range(vm_count)
        ]
        resolved = resolve(configuration, vms)
        bytes_per_vm = tracemalloc.get_traced_memory()[0] / vm_count
        tracemalloc.stop()
        resolve_s = cpu_s_per_call(lambda vms=vms: resolve(configuration, vms), 3)
        print(
            f"  {vm_count:5}: {resolve_s * 1e3:7.1f} {configuration_bytes} "
            f"{bytes_per_vm:.0f} {len(resolved.vms)}"
        )


def resident_memory_mib(process):
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{process.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def measure_idle_daemons():
    """Print memory, processor time and table calls of idle daemons by their number."""
    print(
        "daemons: MiB and % of a core, gateway and controller; table reads/s, commits/s"
    )
    large = {"pool": "large", "site": "stations"}
    small = {"pool": "small", "site": "stations"}
    for pair_count in (2, 4, 8):
        data_centres = tuple(f"dc{i % 3 + 1}" for i in range(pair_count))
        station_vms = (
            VmShape("a", 25, "d1", labels=large),
            VmShape("b", 25, "d2", labels=large),
        )
        other_vms = (
            VmShape("e", 4, "d3", labels={**large, "site": "apron"}),
            VmShape("r", 3, "d1", kind="service", labels=small),
            VmShape("t", 1, "d3", kind="service", labels={**small, "site": "apron"}),
        )
        shape = SiteShape(
            data_centres, data_centres, (*station_vms, *other_vms), log_level="warning"
        )
        with LocalSite(shape) as site:
            site.cli("apply", "demo/configuration")
            site.wait_for_groups(4)
            cpu_before_s = {
                name: cpu_s(process) for name, process in site.processes.items()
            }
            table_before = site.history()["table"]
            time.sleep(MEASUREMENT_S)
            table_after = site.history()["table"]
            columns = []
            for daemon_names in (site.gateway_names, site.controller_names):
                used_cpu_s = [
                    cpu_s(site.processes[name]) - cpu_before_s[name]
                    for name in daemon_names
                ]
                memory_mib = [
                    resident_memory_mib(site.processes[name]) for name in daemon_names
                ]
                mean_core_fraction = sum(used_cpu_s) / len(used_cpu_s) / MEASUREMENT_S
                columns.append(
                    f"{max(memory_mib):5.1f} MiB {mean_core_fraction:5.2%} (max "
                    f"{max(used_cpu_s) / MEASUREMENT_S:5.2%})"
                )
            reads_per_s = (table_after["reads"] - table_before["reads"]) / MEASUREMENT_S
            commits_per_s = (
                table_after["commits"] - table_before["commits"]
            ) / MEASUREMENT_S
            print(
                f"  {2 * pair_count:3}: {columns[0]}  {columns[1]}  "
                f"{reads_per_s:.1f} {commits_per_s:.1f}",
                flush=True,
            )


def measure_import_memory():
    """Print the memory of an interpreter that has only imported a gateway's modules."""
    import subprocess
    import sys

    source = (
        "import cowslipcourse.gateway.main, os;"
        "print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", source], capture_output=True, text=True
    )
    print("interpreter with a gateway's imports:", completed.stdout.strip())


def main():
    """Print all measurements."""
    measure_heartbeats()
    measure_group_reports()
    measure_resolving()
    measure_import_memory()
    measure_idle_daemons()


if __name__ == "__main__":
    main()

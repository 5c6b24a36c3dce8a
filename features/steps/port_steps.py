"""Steps for the ports that test processes claim."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

from harness.ports import FIRST_PORT

OUTGOING_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
CLAIM_PROGRAM = """
import sys
from harness.ports import free_ports
print(*free_ports(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""


def _take_ports(process_count, port_count):
    """Return the ports that each of several concurrent processes takes."""
    command = [sys.executable, "-c", CLAIM_PROGRAM, str(port_count)]
    processes = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(process_count)
    ]
    lines = [process.stdout.readline() for process in processes]
    for process in processes:
        process.communicate()
    return [[int(port) for port in line.split()] for line in lines]


@when("{process_count:d} processes take {port_count:d} ports each")
def when_processes_take_ports(context, process_count, port_count):
    context.ports = _take_ports(process_count, port_count)


@then("no port was taken twice")
def then_no_port_twice(context):
    ports = [port for taken in context.ports for port in taken]
    assert ports
    assert len(ports) == len(set(ports)), sorted(ports)


@then("each port lies below those of outgoing connections")
def then_below_outgoing(context):
    first_outgoing = int(OUTGOING_PORT_RANGE.read_text().split()[0])
    ports = [port for taken in context.ports for port in taken]
    assert ports
    assert all(FIRST_PORT <= port < first_outgoing for port in ports), sorted(ports)

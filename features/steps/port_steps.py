"""Steps on the ports that test processes take."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

from harness.ports import FIRST_PORT

OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")
TAKE = """
import sys
from harness.ports import free_ports
print(*free_ports(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""


def _take_ports(processes, number):
    """Return the ports that each of some processes takes while the others run."""
    command = [sys.executable, "-c", TAKE, str(number)]
    running = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(processes)
    ]
    lines = [process.stdout.readline() for process in running]
    for process in running:
        process.communicate()
    return [[int(port) for port in line.split()] for line in lines]


@when("{processes:d} processes take {number:d} ports each")
def when_processes_take_ports(context, processes, number):
    context.ports = _take_ports(processes, number)


@then("no port was taken twice")
def then_no_port_twice(context):
    ports = [port for taken in context.ports for port in taken]
    assert ports
    assert len(ports) == len(set(ports)), sorted(ports)


@then("each port lies below those of outgoing connections")
def then_below_outgoing(context):
    lowest = int(OUTGOING.read_text().split()[0])
    ports = [port for taken in context.ports for port in taken]
    assert ports
    assert all(FIRST_PORT <= port < lowest for port in ports), sorted(ports)

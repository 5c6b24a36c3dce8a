"""Account of requests by route and second: asked, served, and the cause of each loss.

Reads the logs of all daemons of one play or soak. Each request has one line that ends
it, so the columns add up; a request that has none, or two, is told and the exit code
is 1. What a caller tried again counts as another request.

Run: ``.venv/bin/python -m measurements.class_account LOG [LOG ...] [--seconds ROUTE]``
"""

import argparse
import re
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

__all__ = ["End", "account", "main", "read_ends"]

SERVED = "served"
BEGUN = ("no-place", "attempt-failed")
"""Events that show that a request was taken in, besides its end."""
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_SECOND = re.compile(r"^\s*(-?\d+)\.\d+\s")
_TIME = re.compile(r"time=\S+T(\d+):(\d+):(\d+)")


class End(NamedTuple):
    """How a request ended.

    :param second: second in which it did, by the line's prefix or its time.
    :param request: id of the caller's attempt.
    :param route: route name; empty if it was not found.
    :param cause: :data:`SERVED`, or why it was lost.
    """

    second: int
    request: str
    route: str
    cause: str


def read_ends(lines):
    """Return ``(list of End, ids of requests without an end)`` of log lines."""
    ends, begun = [], set()
    for line in lines:
        at = line.find("event=")
        if at < 0:
            continue
        fields = {key: value.strip('"') for key, value in _PAIR.findall(line[at:])}
        event, request = fields["event"], fields.get("request", "")
        cause = _cause(event, fields)
        if cause is not None:
            ends.append(End(_second(line), request, fields.get("route", ""), cause))
        elif event in BEGUN:
            begun.add(request)
    return ends, begun - {end.request for end in ends}


def _cause(event, fields):
    """Return the cause by which a line ends a request, ``None`` if it does not."""
    if event == "request-failed":
        return fields.get("cause", fields["error"])
    if event == "caller-left":
        return "caller-gone"
    if event == "answered":
        return SERVED if int(fields["status"]) < 500 else "answered-failure"
    if event == "streamed":
        late = fields.get("late", "None")
        return SERVED if late == "None" else late
    return None


def _second(line):
    found = _SECOND.match(line)
    if found:
        return int(found[1])
    found = _TIME.search(line)
    hours, minutes, seconds = (int(part) for part in found.groups())
    return (hours * 60 + minutes) * 60 + seconds


def account(ends):
    """Return a :class:`~collections.Counter` of causes by route."""
    by_route = {}
    for end in ends:
        by_route.setdefault(end.route, Counter())[end.cause] += 1
    return by_route


def _repeated(ends):
    """Return the ids that two lines end; requests without an id are not told apart."""
    counts = Counter(end.request for end in ends if end.request)
    return [request for request, number in counts.items() if number > 1]


def _print_account(by_route):
    for route, causes in sorted(by_route.items()):
        lost = ", ".join(f"{c} {n}" for c, n in causes.most_common() if c != SERVED)
        total = causes.total()
        print(
            f"{route or '(no route)'}: {total} ended, {causes[SERVED]} served; {lost}"
        )


def _print_seconds(ends, route):
    by_second = {}
    for end in ends:
        if end.route == route:
            by_second.setdefault(end.second, Counter())[end.cause] += 1
    for second, causes in sorted(by_second.items()):
        told = ", ".join(f"{cause} {number}" for cause, number in causes.most_common())
        print(f"{second:6d} {causes.total():5d}  {told}")


def main(arguments):
    """Print the account; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--seconds", metavar="ROUTE", help="a row for each second")
    options = parser.parse_args(arguments)
    lines = (
        line
        for log in options.logs
        for line in log.read_text(errors="replace").splitlines()
    )
    ends, without = read_ends(lines)
    _print_account(account(ends))
    if options.seconds:
        _print_seconds(ends, options.seconds)
    repeated = _repeated(ends)
    print(f"without an end: {len(without)}, with two: {len(repeated)}")
    return 1 if without or repeated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Outcomes of requests by route and second: total, served, and causes of failure.

Reads the logs of all daemons of one emulator run or soak test. Each request has exactly
one log line with its outcome, so the counts add up. Requests with no outcome or with
several are reported, and the exit code is then 1. A caller's retry counts as another
request.

Run: ``.venv/bin/python -m measurements.class_account LOG [LOG ...] [--seconds ROUTE]``
"""

import argparse
import re
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

__all__ = ["RequestOutcome", "count_causes", "main", "read_outcomes"]

SERVED = "served"
ACCEPTED_EVENTS = ("no-place", "attempt-failed")
"""Events logged for an accepted request before its outcome."""
_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_SECOND_PREFIX = re.compile(r"^\s*(-?\d+)\.\d+\s")
_TIME_FIELD = re.compile(r"time=\S+T(\d+):(\d+):(\d+)")


class RequestOutcome(NamedTuple):
    """Outcome of a request.

    :param second: second in which it ended, from the prefix of the line or its time.
    :param request: id of the caller's attempt.
    :param route: route name; empty if no route matched.
    :param cause: :data:`SERVED`, or the cause of the failure.
    """

    second: int
    request: str
    route: str
    cause: str


def read_outcomes(lines):
    """Return ``(list of RequestOutcome, ids of requests without one)``.

    :param lines: iterable of log lines.
    """
    outcomes, accepted = [], set()
    for line in lines:
        fields_start = line.find("event=")
        if fields_start < 0:
            continue
        fields = {
            key: value.strip('"') for key, value in _FIELD.findall(line[fields_start:])
        }
        event, request = fields["event"], fields.get("request", "")
        cause = _cause(event, fields)
        if cause is not None:
            outcomes.append(
                RequestOutcome(
                    _logged_second(line), request, fields.get("route", ""), cause
                )
            )
        elif event in ACCEPTED_EVENTS:
            accepted.add(request)
    return outcomes, accepted - {outcome.request for outcome in outcomes}


def _cause(event, fields):
    """Return the cause in a line with an outcome, ``None`` for any other line."""
    if event == "request-failed":
        return fields.get("cause", fields["error"])
    if event == "caller-left":
        return "caller-gone"
    if event == "answered":
        return SERVED if int(fields["status"]) < 500 else "answered-failure"
    if event == "streamed":
        late_cause = fields.get("late", "None")
        return SERVED if late_cause == "None" else late_cause
    return None


def _logged_second(line):
    match = _SECOND_PREFIX.match(line)
    if match:
        return int(match[1])
    match = _TIME_FIELD.search(line)
    hours, minutes, seconds = (int(part) for part in match.groups())
    return (hours * 60 + minutes) * 60 + seconds


def count_causes(outcomes):
    """Return a :class:`~collections.Counter` of causes by route.

    :param outcomes: iterable of :class:`RequestOutcome`
    """
    causes_by_route = {}
    for outcome in outcomes:
        causes_by_route.setdefault(outcome.route, Counter())[outcome.cause] += 1
    return causes_by_route


def _ids_with_several_outcomes(outcomes):
    """Return the ids with several outcomes; requests without an id are left out."""
    counts = Counter(outcome.request for outcome in outcomes if outcome.request)
    return [request for request, count in counts.items() if count > 1]


def _print_causes(causes_by_route):
    for route, causes in sorted(causes_by_route.items()):
        failures = ", ".join(
            f"{cause} {count}"
            for cause, count in causes.most_common()
            if cause != SERVED
        )
        total = causes.total()
        print(
            f"{route or '(no route)'}: {total} requests, "
            f"{causes[SERVED]} served; {failures}"
        )


def _print_seconds(outcomes, route):
    causes_by_second = {}
    for outcome in outcomes:
        if outcome.route == route:
            causes_by_second.setdefault(outcome.second, Counter())[outcome.cause] += 1
    for second, causes in sorted(causes_by_second.items()):
        counts_text = ", ".join(
            f"{cause} {count}" for cause, count in causes.most_common()
        )
        print(f"{second:6d} {causes.total():5d}  {counts_text}")


def main(arguments):
    """Print the outcomes by route; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument(
        "--seconds",
        metavar="ROUTE",
        help="also print a row for each second of this route",
    )
    options = parser.parse_args(arguments)
    lines = (
        line
        for log in options.logs
        for line in log.read_text(errors="replace").splitlines()
    )
    outcomes, unfinished = read_outcomes(lines)
    _print_causes(count_causes(outcomes))
    if options.seconds:
        _print_seconds(outcomes, options.seconds)
    repeated_ids = _ids_with_several_outcomes(outcomes)
    print(f"without an outcome: {len(unfinished)}, with several: {len(repeated_ids)}")
    return 1 if unfinished or repeated_ids else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Command: run seeds in which a retry budget is used up, and check the targets."""

import argparse
import asyncio
import logging
import random
import shutil
import sys
from pathlib import Path
from typing import NamedTuple

from features.support.budget_oracle import Excess, largest_use, worst_window
from soak.retry_callers import RetryCallers
from soak.retry_checks import (
    find_extended,
    find_overlong,
    find_untaken,
    find_widened,
    is_unproven,
)
from soak.retry_faults import HOLDING_KINDS, RetryFaults, retry_schedule
from soak.retry_site import MAX_ATTEMPTS, SETTINGS, RetrySite

__all__ = [
    "ServiceFigures",
    "main",
    "run_faults",
    "run_schedule",
]

SETTLE_S = 3.0
"""Time after the last fault in which arrivals are still recorded."""


class ServiceFigures(NamedTuple):
    """Repeats at a service, counted as they arrived.

    :param service: name of the service.
    :param requests: number of requests of callers.
    :param repeats: number of arrivals beyond the first of their request.
    :param worst: :class:`~features.support.budget_oracle.Excess` of the worst window.
    :param largest_use: largest fraction of its budget that a window uses.
    :param untaken: repeats that no daemon has logged as taken from the budget although
        it could; 0 for builds that do not log retries.
    :param unproven: repeats without a line whose daemon was killed during the call:
        lines that it had not written yet are lost.
    :param widened: requests that ran at more targets than their route allows.
    :param overlong: requests that were sent with more time than their callers wait.
    :param extended: requests that were sent again with a later end.
    """

    service: str
    requests: int
    repeats: int
    worst: Excess
    largest_use: float
    untaken: int
    unproven: int
    widened: list
    overlong: list
    extended: list


def _figures(site, callers, are_held):
    """Return the :class:`ServiceFigures` of each service.

    :param are_held: whether requests were read later than they were sent.
    """
    taken = site.retries_taken()
    figures = []
    for service, sent_at in callers.sent_at.items():
        arrivals = site.arrivals_at(service)
        repeats = sorted(at for each in arrivals.values() for at, *_ in each[1:])
        sends = callers.send_counts
        untaken = find_untaken(arrivals, taken, sends) if taken else {}
        unproven = sum(
            count
            for attempt_id, count in untaken.items()
            if is_unproven(callers.calls[attempt_id], site.kills)
        )
        worst, use = Excess(0.0, 0, SETTINGS.slack), 0.0
        if repeats:
            worst = worst_window(SETTINGS, sorted(sent_at), repeats)
            use = largest_use(SETTINGS, sorted(sent_at), repeats)
        figures.append(
            ServiceFigures(
                service,
                len(sent_at),
                len(repeats),
                worst,
                use,
                sum(untaken.values()) - unproven,
                unproven,
                find_widened(arrivals, sends, MAX_ATTEMPTS),
                find_overlong(arrivals, callers.calls),
                [] if are_held else find_extended(arrivals, callers.calls),
            )
        )
    return figures


async def run_faults(seed, duration_s, checkout=None):
    """Run one seed and return ``(figures, site)``.

    :param seed: seed of faults and callers.
    :param duration_s: seconds from the start of the callers until the last fault ends.
    :param checkout: checkout of the build of the daemons, or ``None`` for this one.
    """
    rng = random.Random(seed)
    return await run_schedule(retry_schedule(rng, duration_s), rng, checkout)


async def run_schedule(schedule, rng, checkout=None):
    """Apply faults to a site with callers and return ``(figures, site)``.

    :param schedule: :class:`~soak.retry_faults.RetryFault` sequence, sorted by time.
    :param rng: :class:`random.Random`
    :param checkout: see :func:`run_faults`.
    """
    site = RetrySite(checkout)
    callers = RetryCallers(site, rng)
    calling = None
    try:
        await site.start()
        if not await callers.wait_until_served():
            raise RuntimeError("the site did not serve before the faults")
        calling = asyncio.create_task(callers.run())
        await RetryFaults(site, rng).run(schedule)
        await asyncio.sleep(SETTLE_S)
        are_held = any(fault.kind in HOLDING_KINDS for fault in schedule)
        return _figures(site, callers, are_held), site
    finally:
        if calling is not None:
            calling.cancel()
            await asyncio.gather(calling, return_exceptions=True)
        await site.stop()


def _violations(figures, site):
    for name in site.slow_stops:
        yield f"a planned stop of {name} took too long"
    for each in figures:
        if each.worst.is_violation:
            yield f"{each.service}: beyond the retry budget: {each.worst}"
        if each.untaken:
            yield f"{each.service}: {each.untaken} repeats not taken from the budget"
        if each.widened:
            yield f"{each.service}: ran at too many targets: {each.widened[:5]}"
        if each.overlong:
            yield f"{each.service}: more time than callers wait: {each.overlong[:5]}"
        if each.extended:
            yield f"{each.service}: repeats with a later end: {each.extended[:5]}"


def main():
    """Run the seeds of the command line and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak-retries", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--daemons", type=Path, help="checkout of the daemons' build")
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(arguments.first, arguments.last + 1):
        run = run_faults(seed, arguments.seconds, arguments.daemons)
        figures, site = asyncio.run(run)
        violations = list(_violations(figures, site))
        for each in figures:
            print(
                f"seed {seed}: {each.service}: {each.requests} requests, "
                f"{each.repeats} repeats, worst window {each.worst.repeats} of "
                f"{each.worst.allowed:.0f}, largest use {each.largest_use:.2f}, "
                f"unproven {each.unproven}",
                flush=True,
            )
        for violation in violations:
            print(f"seed {seed}: {violation}", flush=True)
        failed += bool(violations)
        if violations and arguments.keep:
            kept = arguments.keep / f"seed-{seed}"
            shutil.copytree(site.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(site.folder)
    print(f"{arguments.last - arguments.first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

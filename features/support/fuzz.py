"""Run fuzzing with more seeds and print those that fail."""

import logging
import sys

from cowslipcourse.emulator.clock import run_in_virtual_time
from features.support.booking_runs import BookingRun
from features.support.budget_lives import budget_violations, late_budget_violations
from features.support.coordinator_runs import SITES, coordinator_run
from features.support.crash_runs import crash_violations
from features.support.edit_runs import EditRun
from features.support.group_runs import AnswerFaultInjector, fixed_secrets, group_run
from features.support.limit_network_runs import limit_violations
from features.support.membership_runs import random_run, settle
from features.support.part_runs import part_form_violations, part_violations
from features.support.pause_runs import pause_violations
from features.support.paused_engine_runs import pausing_run
from features.support.reader_lives import reader_violations
from features.support.silence_fuzz import silence_violations


def _membership(seed):
    fleet = settle(random_run(seed))
    whole = len(fleet.serving()) == len(fleet.names)
    stuck = (
        [] if whole and fleet.accepted_number == fleet.head.number else ["not settled"]
    )
    return [*fleet.violations, *stuck]


def _groups(seed):
    result = run_in_virtual_time(group_run(seed))
    return [*result.violations, *([] if result.has_recovered else ["not settled"])]


def _answers(seed):
    return run_in_virtual_time(
        group_run(seed, injector_type=AnswerFaultInjector)
    ).violations


def _bookings(seed):
    return run_in_virtual_time(BookingRun(seed).run())


async def _edit_run(seed):
    return await EditRun(seed).run()


def _edits(seed):
    return run_in_virtual_time(_edit_run(seed))


def _duels(site):
    def run(seed):
        return run_in_virtual_time(coordinator_run(seed, SITES[site])).violations

    return run


def _pausing_duels(kind, max_pause_s):
    def run(seed):
        return run_in_virtual_time(pausing_run(seed, kind, max_pause_s))

    return run


def _limits(data_centres, daemons_per_data_centre):
    def run(seed):
        return limit_violations(seed, data_centres, daemons_per_data_centre)

    return run


KINDS = {
    "duels": _duels("mixed"),
    "divided-duels": _duels("divided"),
    "restart-duels": _duels("mixed restarting"),
    "divided-restart-duels": _duels("divided restarting"),
    "rename-duels": _duels("mixed renaming"),
    "divided-rename-duels": _duels("divided renaming"),
    "overload-duels": _duels("mixed overloaded"),
    "divided-overload-duels": _duels("divided overloaded"),
    "share-duels": _duels("mixed with changing shares"),
    "divided-share-duels": _duels("divided with changing shares"),
    "restored-share-duels": _duels("divided restored with changing shares"),
    "paused-engines": _pausing_duels("mixed", 3.8),
    "divided-paused-engines": _pausing_duels("divided", 3.8),
    "long-paused-engines": _pausing_duels("mixed", 9.0),
    "divided-long-paused-engines": _pausing_duels("divided", 9.0),
    "crashes": crash_violations,
    "part-crashes": part_violations,
    "part-crash-forms": part_form_violations,
    "limits": _limits(2, 4),
    "limits-64": _limits(4, 16),
    "limits-195": _limits(5, 39),
    "limits-405": _limits(15, 27),
    "silences": silence_violations,
    "readers": reader_violations,
    "retry-budgets": budget_violations,
    "late-retries": late_budget_violations,
    "pauses": pause_violations,
    "pauses-64": lambda seed: pause_violations(seed, daemon_count=64),
    "membership": _membership,
    "groups": _groups,
    "answers": _answers,
    "bookings": _bookings,
    "edits": _edits,
}


def main():
    """Run the seeds given on the command line."""
    logging.disable(logging.CRITICAL)
    if len(sys.argv) != 4 or sys.argv[1] not in KINDS:
        print(f"usage: fuzz {'|'.join(KINDS)} FIRST LAST", file=sys.stderr)
        return 2
    run, first, last = KINDS[sys.argv[1]], int(sys.argv[2]), int(sys.argv[3])
    failed = 0
    for seed in range(first, last + 1):
        with fixed_secrets(seed):
            violations = run(seed)
        if violations:
            failed += 1
            print(f"seed {seed}: {violations[:3]}", flush=True)
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

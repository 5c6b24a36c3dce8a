"""Stand-in for the evaluation of parts of prompts until that is loaded."""

import contextlib

__all__ = ["UnloadedPartEvaluation"]


class UnloadedPartEvaluation:
    """Holds, reports and evaluates nothing.

    For the methods see
    :class:`~cowslipcourse.quarantine_runtime.part_evaluation.PartEvaluation`.
    """

    exit_count = 0
    hold_count = 0

    def __init__(self):
        self.stored_exits = []

    def add_stored_exits(self, exits):
        """Keep exits that were read from the store."""
        self.stored_exits += exits

    def is_held(self, call):
        """Return that nothing is held."""
        return False

    def is_probe(self, call):
        """Return that no request is a probe."""
        return False

    def end_probe(self, call):
        """Ignore a request, which is no probe."""

    def expire_holds(self, now):
        """Release nothing."""

    def record_request(self, call):
        """Ignore a request."""

    def tracking(self, call, run):
        """Return a context that does nothing."""
        return contextlib.nullcontext()

    def runs_with(self, part):
        """Return no runs."""
        return []

    def record_broken(self, call, run):
        """Ignore a run."""

    def retry_delay_s(self, call):
        """Return that no request waits."""
        return 0.0

    def report_exit(self, target_key, runs):
        """Ignore an exit."""

    def record_answer(self, call, run):
        """Ignore an answer."""

    def handle_message(self, message):
        """Ignore a message; those on exits are sent again."""

    def handle_verdict(self, part):
        """Ignore a verdict."""

    def is_outdated(self, verdict):
        """Return that no quarantine was lifted."""
        return False

    def repeat_lifts(self, now):
        """Repeat nothing."""

"""Emulated plain service that records each execution."""

import asyncio

from cowslipcourse.standin.engine import Refused

__all__ = ["PlainService"]


class PlainService:
    """A plain service on a VM.

    Fault knobs: ``dead``, ``frozen``, ``refuse`` (reason), ``slow_s``, and knobs that
    hold the number of further calls they affect: ``drop_before_answer`` (runs the
    operation, then drops the connection), ``drop_unread`` (drops the connection without
    running anything), ``wrong_attempt`` (answers with another attempt id).

    :param vm: entry of the VM in the list, as a dict.
    """

    def __init__(self, vm):
        self.vm = vm
        self.faults = {
            "dead": False,
            "frozen": False,
            "refuse": "",
            "slow_s": 0.0,
            "drop_before_answer": 0,
            "drop_unread": 0,
            "wrong_attempt": 0,
        }
        self.history = []
        self._running = 0

    def status(self):
        """Return the status that the service reports."""
        load = {"running": self._running, "waiting": 0, "batch_limit": 64}
        return {
            "vm": self.vm["name"],
            "incarnation": self.vm["incarnation"],
            "state": "ready",
            "load": {**load, "token_s": 0.0},
        }

    async def call(self, operation, attempt, body):
        """Run an operation once and return its result.

        :raises Refused: the operation was not run.
        """
        if self.faults["refuse"]:
            raise Refused(self.faults["refuse"])
        if self.vm["state"] == "leaving":
            raise Refused("leaving")
        self._running += 1
        try:
            now = asyncio.get_running_loop().time()
            body_text = body.decode(errors="replace")
            self.history.append(
                {
                    "at": now,
                    "event": "run",
                    "operation": operation,
                    "attempt": attempt,
                    "body": body_text,
                }
            )
            execution_number = len(self.history)
            await asyncio.sleep(self.faults["slow_s"])
            return {
                "operation": operation,
                "number": execution_number,
                "vm": self.vm["name"],
            }
        finally:
            self._running -= 1

    def restart(self):
        """Continue under a new incarnation; the history is kept."""
        self.vm["incarnation"] += "+"

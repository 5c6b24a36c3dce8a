"""An emulated plain service that records each execution."""

import asyncio

from cowslipcourse.standin.engine import Refused

__all__ = ["PlainService"]


class PlainService:
    """One plain service on one VM.

    Fault knobs: ``dead``, ``frozen``, ``refuse`` (reason), ``slow_s``, and the
    number of coming calls to spoil: ``drop_before_answer`` (runs, then the
    connection breaks), ``drop_unread`` (the connection breaks, nothing runs),
    ``wrong_attempt`` (answers with another call's id).

    :param vm: dict with the VM's entry in the list.
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
        """Return what the service says of itself."""
        load = {"running": self._running, "waiting": 0, "batch_limit": 64}
        return {
            "vm": self.vm["name"],
            "incarnation": self.vm["incarnation"],
            "state": "ready",
            "load": {**load, "token_s": 0.0},
        }

    async def call(self, operation, attempt, body):
        """Run an operation once and return its answer.

        :raises Refused: nothing was run.
        """
        if self.faults["refuse"]:
            raise Refused(self.faults["refuse"])
        if self.vm["state"] == "leaving":
            raise Refused("leaving")
        self._running += 1
        try:
            now = asyncio.get_running_loop().time()
            text = body.decode(errors="replace")
            self.history.append(
                {
                    "at": now,
                    "event": "run",
                    "operation": operation,
                    "attempt": attempt,
                    "body": text,
                }
            )
            number = len(self.history)
            await asyncio.sleep(self.faults["slow_s"])
            return {"operation": operation, "number": number, "vm": self.vm["name"]}
        finally:
            self._running -= 1

    def restart(self):
        """Go on under a new incarnation; executions stay recorded."""
        self.vm["incarnation"] += "+"

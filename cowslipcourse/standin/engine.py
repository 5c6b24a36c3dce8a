"""Emulated engine with batching, prefix cache, delayed load reports and orders.

Each token of an answer depends only on the body of the request and on its position, so
that tests can compute the complete answer, and an answer that is resumed on another
engine continues with the same tokens.
"""

import asyncio
import json
import random
import secrets
from collections import OrderedDict, deque

import xxhash

from cowslipcourse.load_balancing import prefix_hashes

__all__ = ["Engine", "Refused", "Sequence", "answer_words"]

ANSWER_WORDS = (
    "hall", "platform", "north", "south", "crew", "sheet", "gate", "stand", "tug",
    "tow", "bar", "round", "next", "due", "clean", "clear", "at", "five", "ten", "to",
)  # fmt: skip
DEFAULT_TOKENS = 24
BYTES_PER_TOKEN = 4
REJOIN_DELAY_S = 0.05
CORRUPTION_OFFSET = 3


class Refused(Exception):
    """The target refuses a request or an order without starting it."""


def answer_words(body, limit=None):
    """Return the words of the complete answer to a request.

    :param body: body of the caller's request.
    :param limit: number of words; taken from the body if omitted.
    """
    request = json.loads(body)
    word_count = limit or int(request.get("max_tokens") or DEFAULT_TOKENS)
    prompt = json.dumps(request.get("messages"), sort_keys=True).encode()
    seed = xxhash.xxh3_64_intdigest(prompt)
    return [
        ANSWER_WORDS[(seed >> (index % 48)) * (index + 7) % len(ANSWER_WORDS)] + " "
        for index in range(word_count)
    ]


class Sequence:
    """An answer that is being generated.

    :param attempt: id of the attempt, repeated in each event.
    :param request_id: id of the caller's request.
    :param body: body of the caller's request.
    :param offset: index of the first token to emit.
    :param priority: priority; larger is more urgent.
    """

    def __init__(self, attempt, request_id, body, offset, priority):
        self.attempt = attempt
        self.request_id = request_id
        self.priority = priority
        self.words = answer_words(body)
        self.offset = offset
        self.prefilled_at = 0.0
        self.model = json.loads(body).get("model", "")
        self.events = asyncio.Queue()
        self.is_cancelled = False

    def advance(self):
        """Emit the next event and return whether the answer is complete."""
        is_done = self.offset >= len(self.words)
        if is_done:
            data = "[DONE]"
        else:
            chunk = {
                "id": self.request_id,
                "object": "chat.completion.chunk",
                "model": self.model,
                "choices": [
                    {"index": 0, "delta": {"content": self.words[self.offset]}}
                ],
            }
            data = json.dumps(chunk, separators=(",", ":"))
        self.events.put_nowait(
            f"id: {self.attempt}:{self.offset}\ndata: {data}\n\n".encode()
        )
        self.offset += 1
        return is_done

    def fail(self):
        """End the stream without its end event."""
        self.events.put_nowait(None)


class Engine:
    """An engine on a VM.

    Fault knobs: ``dead``, ``frozen`` (accepts connections but never responds),
    ``slow_factor``, ``wrong_attempt``, ``skip_token``, ``repeat_token``,
    ``no_end``, ``break_early`` (each is the number of further answers to corrupt; the
    last one drops the connection after the answer has started, before any event),
    ``refuse`` (reason), ``ignore_leaving`` (accepts requests although its VM is
    leaving), ``order_delay_s``.

    :param vm: entry of the VM in the list, as a dict.
    :param checks_fence: whether orders with a stale fencing token are refused.
    :param settings: :class:`~cowslipcourse.settings.EngineSettings`
    :param world: :class:`~cowslipcourse.standin.environment.World`, which holds the
        other engines and the weight store.
    """

    def __init__(self, vm, checks_fence, settings, world):
        self.vm = vm
        self._checks_fence = checks_fence
        self._settings = settings
        self._world = world
        self._rng = random.Random(f"{world.seed}/{vm['name']}")
        self.faults = {
            "dead": False,
            "frozen": False,
            "slow_factor": 1.0,
            "wrong_attempt": 0,
            "skip_token": 0,
            "repeat_token": 0,
            "no_end": 0,
            "break_early": 0,
            "refuse": "",
            "ignore_leaving": False,
            "order_delay_s": 0.0,
        }
        self.history = []
        self._reset()

    def _reset(self):
        self.state = "idle"
        self.assignment = {"group": "", "epoch": 0, "model": "", "version": ""}
        self.members = ()
        self.fence = 0
        self._loaded = None
        self._load_task = None
        self._running, self._waiting = [], deque()
        self._step_task = None
        self._prefix_cache = OrderedDict()
        self._prefix_events = deque()
        self._load_report = (0.0, {})

    def restart(self):
        """Restart with an empty state, as a new incarnation of the VM."""
        self.break_streams()
        if self._load_task is not None:
            self._load_task.cancel()
        if self._step_task is not None:
            self._step_task.cancel()
        self._reset()
        self.vm["incarnation"] = secrets.token_hex(4)

    def break_streams(self):
        """Break all streams."""
        for sequence in [*self._running, *self._waiting]:
            sequence.fail()
        self._running.clear()
        self._waiting.clear()

    # Status.

    def status(self):
        """Return the status that the engine reports."""
        now = asyncio.get_running_loop().time()
        if now - self._load_report[0] >= self._settings.load_lag_s:
            self._load_report = (now, self._current_load())
        while self._prefix_events and now - self._prefix_events[0][0] > 10.0:
            self._prefix_events.popleft()
        lag_s = self._settings.event_lag_s
        prefixes = [digest for at, digest in self._prefix_events if now - at >= lag_s][
            -64:
        ]
        return {
            "vm": self.vm["name"],
            "incarnation": self.vm["incarnation"],
            "state": self.state,
            **self.assignment,
            "fence": self.fence,
            "load": self._load_report[1],
            "prefixes": prefixes,
        }

    def _current_load(self):
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "batch_limit": self._settings.batch_limit,
            "token_s": self._settings.token_s * self.faults["slow_factor"],
        }

    # Orders.

    def order(self, order):
        """Execute an order; loads continue in the background."""
        now = asyncio.get_running_loop().time()
        is_stale = order["fence"] < self.fence
        self.history.append({"at": now, "event": "order", "stale": is_stale, **order})
        if is_stale and self._checks_fence:
            raise Refused("stale-fence")
        self.fence = max(self.fence, order["fence"])
        if self._load_task is not None:
            self._load_task.cancel()
        if order["kind"] == "unload":
            self.break_streams()
            self._loaded = None
            self.assignment = {"group": "", "epoch": 0, "model": "", "version": ""}
            self.members = ()
            self.state = "idle"
            return
        self.state = "loading"
        self._load_task = asyncio.create_task(self._load_model(order))

    async def _load_model(self, order):
        names = ("group", "epoch", "model", "version")
        self.assignment = {name: order[name] for name in names}
        self.members = tuple(order["members"])
        expected = (order["model"], order["version"], tuple(order["adapters"]))
        if self._loaded == expected:
            await asyncio.sleep(REJOIN_DELAY_S)
        else:
            self.break_streams()
            self._loaded = None
            self._prefix_cache.clear()
            await self._world.weights.load(order["load_bytes"])
            self._loaded = expected
        self.state = "ready"

    # Requests.

    def generate(self, headers, body):
        """Start an answer and return its :class:`Sequence`.

        :raises Refused: nothing was started.
        """
        if self.faults["refuse"]:
            raise Refused(self.faults["refuse"])
        expected = (headers.get("x-group"), int(headers.get("x-epoch", "0")))
        if self.state != "ready":
            raise Refused("not-ready")
        if expected != (self.assignment["group"], self.assignment["epoch"]):
            raise Refused("another-group-or-epoch")
        if self.vm["state"] == "leaving" and not self.faults["ignore_leaving"]:
            raise Refused("leaving")
        if len(self._waiting) >= 4 * self._settings.batch_limit:
            raise Refused("busy")
        sequence = Sequence(
            headers["x-attempt"],
            headers.get("x-request", ""),
            body,
            int(headers.get("x-resume-from", "0")),
            int(headers.get("x-priority", "1")),
        )
        now = asyncio.get_running_loop().time()
        all_ready = self._world.all_members_ready(self.members, self.assignment)
        self.history.append(
            {
                "at": now,
                "event": "generate",
                "attempt": sequence.attempt,
                "request": sequence.request_id,
                "group": expected[0],
                "epoch": expected[1],
                "all_present": all_ready,
            }
        )
        sequence.prefilled_at = now + self._prefill_s(body)
        self._enqueue(sequence)
        return sequence

    def _prefill_s(self, body):
        hashes = prefix_hashes(body)
        cached_blocks = 0
        for index, digest in enumerate(hashes, start=1):
            if digest in self._prefix_cache:
                cached_blocks = index
        now = asyncio.get_running_loop().time()
        for digest in hashes:
            if digest not in self._prefix_cache and self._rng.random() >= (
                self._settings.event_loss
            ):
                self._prefix_events.append((now, digest))
            self._prefix_cache[digest] = True
            self._prefix_cache.move_to_end(digest)
        while len(self._prefix_cache) > self._settings.cache_prefixes:
            self._prefix_cache.popitem(last=False)
        uncached_bytes = len(body) - cached_blocks * 256
        return (
            max(1, uncached_bytes)
            / BYTES_PER_TOKEN
            / self._settings.prefill_tokens_per_s
        )

    def _enqueue(self, sequence):
        self._waiting.append(sequence)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._run_steps())

    def cancel(self, attempt):
        """Cancel an answer; no more events are emitted for it."""
        for sequence in [*self._running, *self._waiting]:
            if sequence.attempt == attempt:
                sequence.is_cancelled = True

    def _admit_waiting(self):
        self._waiting = deque(s for s in self._waiting if not s.is_cancelled)
        while self._waiting and len(self._running) < self._settings.batch_limit:
            most_urgent = max(self._waiting, key=lambda s: s.priority)
            self._waiting.remove(most_urgent)
            self._running.append(most_urgent)

    async def _run_steps(self):
        loop = asyncio.get_running_loop()
        while self._running or self._waiting:
            self._admit_waiting()
            batch_utilization = len(self._running) / self._settings.batch_limit
            factor = self.faults["slow_factor"] * (1 + 0.5 * batch_utilization)
            await asyncio.sleep(self._settings.token_s * factor)
            if self._world.leaders_detect_loss and not self._world.all_members_ready(
                self.members, self.assignment
            ):
                self.break_streams()
                return
            for sequence in list(self._running):
                if sequence.is_cancelled or self._advance_sequence(
                    sequence, loop.time()
                ):
                    self._running.remove(sequence)

    def _advance_sequence(self, sequence, now):
        if now < sequence.prefilled_at:
            return False
        if sequence.offset == CORRUPTION_OFFSET:
            self._corrupt(sequence)
        is_at_end = sequence.offset >= len(sequence.words)
        if is_at_end and self._consume_fault("no_end"):
            sequence.fail()
            return True
        return sequence.advance()

    def _corrupt(self, sequence):
        """Corrupt an answer as the fault knobs demand."""
        if self._consume_fault("skip_token"):
            sequence.offset += 1
        if self._consume_fault("repeat_token"):
            sequence.offset -= 1
        if self._consume_fault("wrong_attempt"):
            sequence.attempt = "another-attempt"
            sequence.words = list(reversed(sequence.words))

    def consume_early_break(self):
        """Return whether to drop the answer just started, and count it."""
        return self._consume_fault("break_early")

    def _consume_fault(self, knob):
        if not self.faults[knob]:
            return False
        self.faults[knob] -= 1
        return True

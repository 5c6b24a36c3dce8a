"""An emulated engine: batching, prefix cache, load reports and orders in time.

Token ``i`` of an answer depends only on the request's body, so that a checker can
tell what the whole answer is, and an answer resumed elsewhere goes on the same.
"""

import asyncio
import json
import random
import secrets
from collections import OrderedDict, deque

import xxhash

from cowslipcourse.routing import prefix_hashes

__all__ = ["Engine", "Refused", "Sequence", "answer_words"]

WORDS = (
    "hall", "platform", "north", "south", "crew", "sheet", "gate", "stand", "tug",
    "tow", "bar", "round", "next", "due", "clean", "clear", "at", "five", "ten", "to",
)  # fmt: skip
DEFAULT_TOKENS = 24
BYTES_PER_TOKEN = 4
REJOIN_S = 0.05
SPOILED_OFFSET = 3


class Refused(Exception):
    """The target refuses before it starts anything."""


def answer_words(body, limit=None):
    """Return the words of the whole answer to a request.

    :param body: request body as sent by the caller.
    :param limit: number of words, from the body if left out.
    """
    request = json.loads(body)
    count = limit or int(request.get("max_tokens") or DEFAULT_TOKENS)
    prompt = json.dumps(request.get("messages"), sort_keys=True).encode()
    seed = xxhash.xxh3_64_intdigest(prompt)
    return [
        WORDS[(seed >> (i % 48)) * (i + 7) % len(WORDS)] + " " for i in range(count)
    ]


class Sequence:
    """One running answer.

    :param attempt: attempt id, echoed with each event.
    :param request_id: id of the caller's request.
    :param body: caller's body.
    :param offset: first token wanted.
    :param priority: larger is more urgent.
    """

    def __init__(self, attempt, request_id, body, offset, priority):
        self.attempt = attempt
        self.request_id = request_id
        self.priority = priority
        self.words = answer_words(body)
        self.offset = offset
        self.ready_at = 0.0
        self.model = json.loads(body).get("model", "")
        self.events = asyncio.Queue()
        self.cancelled = False

    def advance(self):
        """Emit the next event and return whether the answer is complete."""
        done = self.offset >= len(self.words)
        if done:
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
        return done

    def fail(self):
        """End the stream without its end event."""
        self.events.put_nowait(None)


class Engine:
    """One engine on one VM.

    Fault knobs: ``dead``, ``frozen`` (accepts connections, never answers),
    ``slow_factor``, ``wrong_attempt``, ``skip_token``, ``repeat_token``,
    ``no_end``, ``break_early`` (each the number of coming answers to spoil; the last
    breaks the connection after the start, before any event), ``refuse`` (reason),
    ``ignore_leaving`` (takes work although its VM leaves), ``order_delay_s``.

    :param vm: dict with the VM's entry in the list.
    :param fenced: whether orders with an old fencing token are refused.
    :param settings: :class:`~cowslipcourse.settings.EngineSettings`
    :param world: the stand-in, which knows the other engines and the weight store.
    """

    def __init__(self, vm, fenced, settings, world):
        self.vm = vm
        self._fenced = fenced
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
        self._cache = OrderedDict()
        self._events = deque()
        self._reported = (0.0, {})

    def restart(self):
        """Forget everything, as a new incarnation of the VM."""
        self.drop_all()
        if self._load_task is not None:
            self._load_task.cancel()
        if self._step_task is not None:
            self._step_task.cancel()
        self._reset()
        self.vm["incarnation"] = secrets.token_hex(4)

    def drop_all(self):
        """Break every stream."""
        for sequence in [*self._running, *self._waiting]:
            sequence.fail()
        self._running.clear()
        self._waiting.clear()

    # Status.

    def status(self):
        """Return what the engine says of itself."""
        now = asyncio.get_running_loop().time()
        if now - self._reported[0] >= self._settings.load_lag_s:
            self._reported = (now, self._load())
        while self._events and now - self._events[0][0] > 10.0:
            self._events.popleft()
        lag_s = self._settings.event_lag_s
        prefixes = [digest for at, digest in self._events if now - at >= lag_s][-64:]
        return {
            "vm": self.vm["name"],
            "incarnation": self.vm["incarnation"],
            "state": self.state,
            **self.assignment,
            "fence": self.fence,
            "load": self._reported[1],
            "prefixes": prefixes,
        }

    def _load(self):
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "batch_limit": self._settings.batch_limit,
            "token_s": self._settings.token_s * self.faults["slow_factor"],
        }

    # Orders.

    def order(self, order):
        """Take an order; loading goes on in the background."""
        now = asyncio.get_running_loop().time()
        stale = order["fence"] < self.fence
        self.history.append({"at": now, "event": "order", "stale": stale, **order})
        if stale and self._fenced:
            raise Refused("stale-fence")
        self.fence = max(self.fence, order["fence"])
        if self._load_task is not None:
            self._load_task.cancel()
        if order["kind"] == "unload":
            self.drop_all()
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
        wanted = (order["model"], order["version"], tuple(order["adapters"]))
        if self._loaded == wanted:
            await asyncio.sleep(REJOIN_S)
        else:
            self.drop_all()
            self._loaded = None
            self._cache.clear()
            await self._world.weights.load(order["load_bytes"])
            self._loaded = wanted
        self.state = "ready"

    # Requests.

    def generate(self, headers, body):
        """Start an answer and return its :class:`Sequence`.

        :raises Refused: nothing was started.
        """
        if self.faults["refuse"]:
            raise Refused(self.faults["refuse"])
        wanted = (headers.get("x-group"), int(headers.get("x-epoch", "0")))
        if self.state != "ready":
            raise Refused("not-ready")
        if wanted != (self.assignment["group"], self.assignment["epoch"]):
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
        present = self._world.all_members_ready(self.members, self.assignment)
        self.history.append(
            {
                "at": now,
                "event": "generate",
                "attempt": sequence.attempt,
                "request": sequence.request_id,
                "group": wanted[0],
                "epoch": wanted[1],
                "all_present": present,
            }
        )
        sequence.ready_at = now + self._prefill_s(body)
        self._enqueue(sequence)
        return sequence

    def _prefill_s(self, body):
        hashes = prefix_hashes(body)
        cached = 0
        for index, digest in enumerate(hashes, start=1):
            if digest in self._cache:
                cached = index
        now = asyncio.get_running_loop().time()
        for digest in hashes:
            if digest not in self._cache and self._rng.random() >= (
                self._settings.event_loss
            ):
                self._events.append((now, digest))
            self._cache[digest] = True
            self._cache.move_to_end(digest)
        while len(self._cache) > self._settings.cache_prefixes:
            self._cache.popitem(last=False)
        left = len(body) - cached * 256
        return max(1, left) / BYTES_PER_TOKEN / self._settings.prefill_tokens_per_s

    def _enqueue(self, sequence):
        self._waiting.append(sequence)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._steps())

    def cancel(self, attempt):
        """Stop an answer; nothing more is emitted for it."""
        for sequence in [*self._running, *self._waiting]:
            if sequence.attempt == attempt:
                sequence.cancelled = True

    def _admit_waiting(self):
        self._waiting = deque(s for s in self._waiting if not s.cancelled)
        while self._waiting and len(self._running) < self._settings.batch_limit:
            urgent = max(self._waiting, key=lambda s: s.priority)
            self._waiting.remove(urgent)
            self._running.append(urgent)

    async def _steps(self):
        loop = asyncio.get_running_loop()
        while self._running or self._waiting:
            self._admit_waiting()
            fill = len(self._running) / self._settings.batch_limit
            factor = self.faults["slow_factor"] * (1 + 0.5 * fill)
            await asyncio.sleep(self._settings.token_s * factor)
            if self._world.leaders_detect_loss and not self._world.all_members_ready(
                self.members, self.assignment
            ):
                self.drop_all()
                return
            for sequence in list(self._running):
                if sequence.cancelled or self._step(sequence, loop.time()):
                    self._running.remove(sequence)

    def _step(self, sequence, now):
        if now < sequence.ready_at:
            return False
        if sequence.offset == SPOILED_OFFSET:
            self._spoil(sequence)
        at_end = sequence.offset >= len(sequence.words)
        if at_end and self._take("no_end"):
            sequence.fail()
            return True
        return sequence.advance()

    def _spoil(self, sequence):
        """Spoil an answer as an engine with a fault would."""
        if self._take("skip_token"):
            sequence.offset += 1
        if self._take("repeat_token"):
            sequence.offset -= 1
        if self._take("wrong_attempt"):
            sequence.attempt = "another-attempt"
            sequence.words = list(reversed(sequence.words))

    def consume_early_break(self):
        """Return whether the answer just started is to break off at once."""
        return self._take("break_early")

    def _take(self, knob):
        if not self.faults[knob]:
            return False
        self.faults[knob] -= 1
        return True

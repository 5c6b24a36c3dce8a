"""Random lives of daemons that read the store, and what is known of leaving targets."""

import asyncio
import random
from typing import NamedTuple

from features.support.reader_site import ReaderSite
from features.support.wire import entry_content

__all__ = ["reader_violations"]

DRAIN_S = 2.0
"""Time after the store's acknowledgement in which daemons stop to use a target."""
CONTACT_S = 3.0
"""Time after a disturbance in which daemons are in touch again."""
ENDS_AT_S = 34.0
WATCHED_S = 8.0
FAULT_COUNT = 5
LEAVING_COUNT = 9
CALM_S = 4.0
"""Time around an outage without other faults, so that lapsed entries are judged."""
RETURN_S = 1.8
"""Time after an outage in which a target writes its lapsed entry again."""
MIN_LAPSING_OUTAGE_S = 2.0
LAPSE_BEFORE_END_S = 0.1
LAPSING = "lapsing"


class _Span(NamedTuple):
    began_at: float
    ended_at: float


class _Life:
    """One random run.

    :param seed: seed of all choices.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        data_centres = self._rng.choice((1, 2, 3, 3, 3))
        self._site = ReaderSite(data_centres, self._rng.choice((2, 3, 3, 4, 5)))
        self._targets = [f"t{number}" for number in range(LEAVING_COUNT)]
        self._left_at = {}
        self._outages = []
        self._cuts = {}
        self._gone = set()
        self._silences = 0
        self._lapsed = []
        self._spans = []
        self.violations = []

    def play(self):
        """Play the run and judge it."""
        self._site.play(self._act, (*self._targets, LAPSING))

    async def _act(self, site):
        starts = sorted(self._rng.uniform(0, ENDS_AT_S) for _ in range(FAULT_COUNT))
        acts = [self._later(at, self._fault()) for at in starts]
        for target in self._targets:
            at = self._rng.uniform(0, ENDS_AT_S)
            if self._rng.random() < 0.6:
                at = max(0.0, self._rng.choice(starts) + self._rng.uniform(-0.5, 6.0))
            acts.append(self._later(at, self._leave(target)))
        for _ in range(3):
            acts.append(self._later(self._rng.uniform(0, ENDS_AT_S), self._write()))
        await asyncio.gather(*acts)
        await asyncio.sleep(WATCHED_S)
        self._judge()

    async def _later(self, at_s, coroutine):
        await asyncio.sleep(at_s)
        await coroutine

    def _fault(self):
        faults = (self._outage, self._cut, self._kill, self._kill, self._stop)
        return self._rng.choice(faults)()

    async def _outage(self):
        began_at, length_s = _now(), self._rng.uniform(0.4, 6.0)
        store = self._site.store
        self._silences += 1
        store.is_silent = True
        lapses = length_s >= MIN_LAPSING_OUTAGE_S and self._silences == 1
        await asyncio.sleep(length_s - LAPSE_BEFORE_END_S)
        if lapses:
            store.lapse(LAPSING)
        await asyncio.sleep(LAPSE_BEFORE_END_S)
        self._silences -= 1
        store.is_silent = self._silences > 0
        span = _Span(began_at, _now())
        self._outages.append(span)
        self._spans.append(span)
        if lapses:
            self._lapsed.append(span)
            await asyncio.sleep(RETURN_S)
            store.put(LAPSING, entry_content(sequence=2 + len(self._lapsed)))

    async def _cut(self):
        names = [reader.name for reader in self._site.readers]
        count = max(1, int(0.35 * len(names)))
        cut = self._rng.sample(names, self._rng.randint(1, count))
        began_at, store = _now(), self._site.store
        for name in cut:
            store.silent_to.add(name)
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        for name in cut:
            store.silent_to.discard(name)
            self._cuts.setdefault(name, []).append(_Span(began_at, _now()))
        self._spans.append(_Span(began_at, _now()))

    def _leaver(self):
        """Return a daemon that may go, often the first of its data centre."""
        data_centre = self._rng.randrange(self._site.network.shape.data_centres)
        local = self._site.registered(data_centre)
        present = [reader for reader in local if reader.name not in self._gone]
        if len(present) < 2:
            return None
        leaver = present[0] if self._rng.random() < 0.7 else self._rng.choice(present)
        self._gone.add(leaver.name)
        self._spans.append(_Span(_now(), _now()))
        return leaver

    async def _kill(self):
        leaver = self._leaver()
        if leaver is not None:
            self._site.kill(leaver)

    async def _stop(self):
        leaver = self._leaver()
        if leaver is not None:
            self._site.stop(leaver)
            await asyncio.sleep(self._rng.uniform(0.5, 5.0))
            self._site.kill(leaver)

    async def _leave(self, target):
        is_removed = self._rng.random() < 0.6
        content = entry_content(state="draining", sequence=2)
        self._site.store.put(target, None if is_removed else content)
        self._left_at[target] = _now()

    async def _write(self):
        self._site.store.version += 1

    def _judge(self):
        for reader in self._site.readers:
            if reader.name in self._gone:
                continue
            spans = [*self._outages, *self._cuts.get(reader.name, ())]
            for target, left_at in self._left_at.items():
                self._judge_use(reader, target, left_at, spans)
            for span in filter(self._is_alone, self._lapsed):
                self._judge_lapse(reader, span)

    def _judge_use(self, reader, target, left_at, spans):
        used_until = _now() if target in reader.usable else reader.left_at[target]
        allowed_until = left_at + DRAIN_S
        for span in sorted(spans):
            if span.began_at <= allowed_until:
                allowed_until = max(allowed_until, span.ended_at + CONTACT_S)
        if used_until > allowed_until:
            late_s = used_until - allowed_until
            self.violations.append(f"{reader.name} used {target} {late_s:.2f} s late")

    def _is_alone(self, outage):
        """Whether nothing else disturbed the daemons around an outage."""
        began_at, ended_at = outage.began_at - CALM_S, outage.ended_at + CALM_S
        return not any(
            span.began_at <= ended_at and span.ended_at >= began_at
            for span in self._spans
            if span is not outage
        )

    def _judge_lapse(self, reader, outage):
        if any(
            target == LAPSING and outage.began_at <= at <= outage.ended_at + CALM_S
            for target, at in reader.drops
        ):
            self.violations.append(f"{reader.name} dropped a lapsed target")


def _now():
    return asyncio.get_running_loop().time()


def reader_violations(seed):
    """Return what a random run has broken, as texts."""
    life = _Life(seed)
    life.play()
    return life.violations

"""Steps for the memory of answers that are held until they are passed on."""

import asyncio

from behave import given, then, when

from cowslipcourse.http_framing import AnswerHold, HeldAnswers

KB, MB = 1024, 1024 * 1024
SIZES = {"4 MB": 4 * MB, "1 MB": MB, "60 KB": 60 * KB}


class _Reads:
    """Answers that are being read, by size."""

    def __init__(self, held):
        self.held = held
        self.holds = {}
        self.tasks = {}

    async def start(self, name):
        """Read an answer to its end, which may have to wait."""
        hold = self.holds[name] = AnswerHold(self.held)
        self.tasks[name] = asyncio.create_task(hold.grow(SIZES[name], SIZES[name]))
        await asyncio.sleep(0)

    @property
    def waiting(self):
        """Sizes of the answers that wait."""
        return {name for name, task in self.tasks.items() if not task.done()}

    async def give_up(self, name):
        """End an answer that waits."""
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)
        self.holds[name].release()


@given("{room:d} MB for answers that are held, and {others}")
def step_room(context, room, others):
    context.room_bytes = room * MB
    context.other_count = 0 if others == "no answers" else 4
    context.acts = []


def _play(context):
    async def run():
        held = HeldAnswers(context.room_bytes)
        others = [AnswerHold(held) for _ in range(context.other_count)]
        for hold in others:
            await hold.grow(4 * MB, 4 * MB)
        reads = _Reads(held)
        for act in context.acts:
            await act(reads, others)

    asyncio.run(run())


@when("answers of 4 MB, 1 MB and 60 KB are read")
def step_read(context):
    async def act(reads, others):
        for name in SIZES:
            await reads.start(name)

    context.acts.append(act)


@then("the one of 60 KB does not wait, and the others do")
def step_waiting(context):
    async def act(reads, others):
        assert reads.waiting == {"4 MB", "1 MB"}, reads.waiting

    context.acts.append(act)


@when("one of the four has been passed on, and the first that waits is given up")
def step_passed_on(context):
    async def act(reads, others):
        await reads.give_up("4 MB")
        others.pop().release()
        await asyncio.sleep(0)

    context.acts.append(act)


@then("the one of 1 MB is read")
def step_is_read(context):
    async def act(reads, others):
        assert not reads.waiting, reads.waiting

    context.acts.append(act)


@then("nothing is held once all have ended")
def step_nothing_held(context):
    async def act(reads, others):
        for hold in (*others, *reads.holds.values()):
            hold.release()
        assert reads.held.reserved_bytes == 0, reads.held.reserved_bytes

    context.acts.append(act)
    _play(context)


@then("the one of 4 MB is read, and that of 1 MB after it")
def step_alone(context):
    async def act(reads, others):
        assert reads.waiting == {"1 MB"}, reads.waiting
        reads.holds["4 MB"].release()
        await asyncio.sleep(0)
        assert not reads.waiting, reads.waiting

    context.acts.append(act)
    _play(context)

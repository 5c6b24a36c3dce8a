"""Steps for decisions on the parts of prompts."""

from behave import given, then, when

from cowslipcourse.quarantine import PartCrash, part_fingerprints
from cowslipcourse.quarantine.prompt_parts import (
    MAX_CRASHES,
    ObservedExits,
    PartSuspects,
    SoundParts,
)

SERVICE = "s"
READ_AT = 100.0


def _part(name):
    return part_fingerprints(SERVICE, (name,))[0]


def _crash(request, target, names, age_s=0.0):
    parts = part_fingerprints(SERVICE, names)
    return PartCrash(request.encode().ljust(16), parts, target, 0, age_s)


def _words(text):
    return [] if text == "none" else [item.split() for item in text.split(", ")]


@given("these crashes: {crashes}")
def step_crashes(context, crashes):
    context.crashes = [
        (float(at), _crash(request, target, names))
        for at, request, target, *names in _words(crashes)
    ]
    context.answers = []
    context.exits = ObservedExits()


@given("requests with these parts are sent and answered: {answers}")
def step_answers(context, answers):
    context.answers = [(float(at), _part(name)) for at, name in _words(answers)]


@given("the daemon itself has seen these targets exit: {targets}")
def step_exits(context, targets):
    for (target,) in _words(targets):
        context.exits.record(_part("A"), (target, 0), 0.0)


@then("the parts convicted at {at:g} s are {parts}")
def step_convicted(context, at, parts):
    suspects, sound = PartSuspects(), SoundParts()
    for crashed_at, crash in context.crashes:
        suspects.add_crash(crash, crashed_at)
    for sent_at, part in context.answers:
        suspects.record_answer(part, sent_at)
        sound.record((part,), sent_at)
    convicted = set()
    while due := suspects.due_parts(at, sound, context.exits):
        suspects.convict(due[0])
        convicted.add(due[0])
    assert convicted == {_part(name) for (name,) in _words(parts)}, convicted


@given("four stored crashes of a part")
def step_stored(context):
    context.suspects = PartSuspects()
    for number in range(4):
        crash = _crash(f"r{number}", f"t{number}", ("A",), 10.0 * number)
        context.suspects.add_crash(crash, READ_AT, is_stored=True)


def _is_due(context, at):
    return bool(context.suspects.due_parts(at, SoundParts(), ObservedExits()))


@then("the part is not convicted {seconds:d} s after they were read")
def step_not_convicted(context, seconds):
    assert not _is_due(context, READ_AT + seconds)


@when("a target crashes under a request with the part")
def step_new_crash(context):
    context.suspects.add_crash(_crash("r9", "t9", ("A",)), READ_AT + 0.1)


@then("the part is convicted, but not within 1 s of the reading of the store")
def step_convicted_later(context):
    assert not _is_due(context, READ_AT + 0.9)
    assert _is_due(context, READ_AT + 1.0)


@when("{count:d} targets crash under requests with different parts")
def step_many_crashes(context, count):
    context.suspects = PartSuspects()
    context.crash_count = count
    for number in range(count):
        crash = _crash(f"r{number}", f"t{number}", (f"p{number}", "q"))
        context.suspects.add_crash(crash, float(number) / 100)


@then("no more than {count:d} crashes are kept, the latest ones")
def step_bounded(context, count):
    assert len(context.suspects) == count == MAX_CRASHES
    newest = _part(f"p{context.crash_count - 1}")
    assert context.suspects.is_suspected(newest)
    assert not context.suspects.is_suspected(_part("p0"))

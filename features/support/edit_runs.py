"""Racing edits over an unreliable table, with the audit trail replayed as oracle."""

import asyncio
import random

from cowslipcourse.config import Edit
from cowslipcourse.exceptions import (
    ConfirmationRequired,
    EditConflict,
    ReplyLost,
    StoreUnavailable,
)
from features.support.group_runs import vm_specs
from features.support.small_site import InProcessSite, base_changes, change

OPERATORS = ("a", "b", "c")
OBJECTS = tuple(f"rule{i}" for i in range(4))


class EditRun:
    """Operators, edits and faults.

    :param seed: seed of everything random.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._seed = seed
        self._site = None
        self._sent = {}
        self.told = {}

    async def run(self, rounds=40):
        """Run and return the violations found."""
        rng = self._rng
        random.seed(self._seed)
        site = self._site = InProcessSite(self._seed, vm_specs(True), ("c1", "c2"), ())
        await site.start()
        await site.edit("c1", *base_changes(2, 2))
        for _ in range(rounds):
            self._fault()
            bases = [await self._base() for _ in OPERATORS]
            pairs = zip(OPERATORS, bases, strict=True)
            await asyncio.gather(*(self._edit(who, base) for who, base in pairs))
            await asyncio.sleep(rng.choice((0.0, 0.3, 2.0)))
        site.world.table.faults.update(down=False, lose_replies=0)
        violations = await self._check()
        await site.stop()
        return violations

    def _fault(self):
        faults = self._site.world.table.faults
        faults["lose_replies"] = self._rng.choice((0, 0, 0, 1, 2))
        faults["down"] = self._rng.random() < 0.1

    async def _base(self):
        """Return a revision to base an edit on, sometimes an old one."""
        number = self._site.controllers["c1"].agent.node.revision_number
        return number - self._rng.choice((0, 0, 0, 1, 3))

    async def _edit(self, operator, base):
        name = self._rng.choice(OBJECTS)
        value = f"v{len(self._sent)}"
        edit_id = f"{operator}-{len(self._sent)}"
        made = change("label", name, on="vm", selector="pool=large", set={name: value})
        edit = Edit(edit_id, operator, "test", base, (made,))
        self._sent[edit_id] = (name, value)
        controller = self._site.controllers[self._rng.choice(("c1", "c2"))]
        try:
            await controller.edits.commit(edit)
            told = "made"
        except EditConflict as error:
            told = f"conflict {error.other_edit}"
        except StoreUnavailable:
            told = "unavailable"
        except ReplyLost:
            told = "unknown"
        except ConfirmationRequired:
            told = "confirm"
        self.told[edit_id] = told

    async def _check(self):
        edits = self._site.controllers["c1"].edits
        trail = list(reversed(await edits.read_audit_records()))
        _, configuration = await edits.read_configuration()
        violations, last = [], {}
        ids = [record["edit_id"] for record in trail]
        if len(ids) != len(set(ids)):
            violations.append(("made twice", ids))
        for edit_id, told in self.told.items():
            times = ids.count(edit_id)
            if told == "made" and times != 1:
                violations.append(("told made", edit_id, times))
            if told not in ("made", "unknown") and times:
                violations.append(("told not made", edit_id, told))
            if told.startswith("conflict") and told.split()[1] not in ids:
                violations.append(("conflict with nothing", edit_id, told))
        for record in trail:
            if record["edit_id"] in self._sent:
                name, value = self._sent[record["edit_id"]]
                last[name] = value
        for name, value in last.items():
            found = configuration["label"][name]["set"][name]
            if found != value:
                violations.append(("lost update", name, found, value))
        return violations

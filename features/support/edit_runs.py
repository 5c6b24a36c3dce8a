"""Concurrent edits over an unreliable table; the oracle replays the audit records."""

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
LABEL_NAMES = tuple(f"rule{i}" for i in range(4))


class EditRun:
    """One random run of operators, edits and faults.

    :param seed: seed of everything random.
    :ivar outcomes: outcome that the operator got, by edit id.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._seed = seed
        self._site = None
        self._edits = {}
        self.outcomes = {}

    async def run(self, round_count=40):
        """Make the run and return the violations found."""
        rng = self._rng
        random.seed(self._seed)
        site = self._site = InProcessSite(self._seed, vm_specs(True), ("c1", "c2"), ())
        await site.start()
        await site.edit("c1", *base_changes(2, 2))
        for _ in range(round_count):
            self._inject_table_faults()
            base_revisions = [await self._random_base_revision() for _ in OPERATORS]
            pairs = zip(OPERATORS, base_revisions, strict=True)
            await asyncio.gather(
                *(
                    self._commit_random_edit(operator, base_revision)
                    for operator, base_revision in pairs
                )
            )
            await asyncio.sleep(rng.choice((0.0, 0.3, 2.0)))
        site.world.table.faults.update(down=False, lose_replies=0)
        violations = await self._violations()
        await site.stop()
        return violations

    def _inject_table_faults(self):
        faults = self._site.world.table.faults
        faults["lose_replies"] = self._rng.choice((0, 0, 0, 1, 2))
        faults["down"] = self._rng.random() < 0.1

    async def _random_base_revision(self):
        """Return the number of a base revision, at times an outdated one."""
        number = self._site.controllers["c1"].agent.node.revision_number
        return number - self._rng.choice((0, 0, 0, 1, 3))

    async def _commit_random_edit(self, operator, base_revision):
        name = self._rng.choice(LABEL_NAMES)
        value = f"v{len(self._edits)}"
        edit_id = f"{operator}-{len(self._edits)}"
        label_change = change(
            "label", name, on="vm", selector="pool=large", set={name: value}
        )
        edit = Edit(edit_id, operator, "test", base_revision, (label_change,))
        self._edits[edit_id] = (name, value)
        controller = self._site.controllers[self._rng.choice(("c1", "c2"))]
        try:
            await controller.edits.commit(edit)
            outcome = "committed"
        except EditConflict as error:
            outcome = f"conflict {error.other_edit}"
        except StoreUnavailable:
            outcome = "unavailable"
        except ReplyLost:
            outcome = "unknown"
        except ConfirmationRequired:
            outcome = "confirm"
        self.outcomes[edit_id] = outcome

    async def _violations(self):
        edits = self._site.controllers["c1"].edits
        audit_records = list(reversed(await edits.read_audit_records()))
        _, configuration = await edits.read_configuration()
        violations, last_values = [], {}
        committed_ids = [record["edit_id"] for record in audit_records]
        if len(committed_ids) != len(set(committed_ids)):
            violations.append(("committed twice", committed_ids))
        for edit_id, outcome in self.outcomes.items():
            commit_count = committed_ids.count(edit_id)
            if outcome == "committed" and commit_count != 1:
                violations.append(("reported committed", edit_id, commit_count))
            if outcome not in ("committed", "unknown") and commit_count:
                violations.append(("reported not committed", edit_id, outcome))
            if (
                outcome.startswith("conflict")
                and outcome.split()[1] not in committed_ids
            ):
                violations.append(("conflict with unknown edit", edit_id, outcome))
        for record in audit_records:
            if record["edit_id"] in self._edits:
                name, value = self._edits[record["edit_id"]]
                last_values[name] = value
        for name, value in last_values.items():
            actual = configuration["label"][name]["set"][name]
            if actual != value:
                violations.append(("lost update", name, actual, value))
        return violations

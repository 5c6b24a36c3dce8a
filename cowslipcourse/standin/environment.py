"""State of a stand-in process: VMs, stores and faults."""

import asyncio
import copy
import secrets

from cowslipcourse.standin.engine import Engine
from cowslipcourse.standin.service import PlainService
from cowslipcourse.standin.table import Table
from cowslipcourse.standin.weights import WeightStore

__all__ = ["World"]


class World:
    """Emulated VMs and stores, with their faults.

    :ivar leaders_detect_loss: whether a leader breaks its streams when a member is
        lost; otherwise it continues alone, and only the system can keep requests away.
    :param settings: :class:`~cowslipcourse.settings.StandinSettings`
    """

    def __init__(self, settings):
        self.settings = settings
        self.seed = settings.seed
        self.table = Table(settings)
        self.objects = {}
        self.object_faults = {"down": False}
        self.list_faults = {"frozen": False, "down": False}
        self.weights = WeightStore(settings.weights_bytes_per_s)
        self.leaders_detect_loss = True
        self.targets = {}
        self._removed = {}
        self._listed = []
        for vm_settings in settings.vms:
            for index in range(1, vm_settings.count + 1):
                self._add_target(vm_settings, f"{vm_settings.prefix}{index}")

    def _add_target(self, vm_settings, name):
        vm = {
            "name": name,
            "domain": vm_settings.domain,
            "data_centre": vm_settings.data_centre,
            "address": f"http://{self.settings.address}/vm/{name}",
            "incarnation": secrets.token_hex(4),
            "accelerators": vm_settings.accelerators,
            "kind": vm_settings.kind,
            "state": "live",
            "labels": dict(vm_settings.labels),
        }
        if vm_settings.kind == "service":
            self.targets[name] = PlainService(vm)
        else:
            engine_settings = self.settings.engine
            self.targets[name] = Engine(vm, vm_settings.fenced, engine_settings, self)

    def all_members_ready(self, members, assignment):
        """Return whether all members of a group are ready with the same assignment.

        An engine whose VM was removed from the list counts while it answers.
        """
        expected = (assignment["group"], assignment["epoch"])
        for name in members:
            engine = self.find(name)
            if engine is None or engine.faults["dead"] or engine.faults["frozen"]:
                return False
            held = (engine.assignment["group"], engine.assignment["epoch"])
            if engine.state != "ready" or held != expected:
                return False
        return True

    async def refresh_list(self):
        """Copy the VMs to the delayed list periodically; runs forever."""
        while True:
            if not self.list_faults["frozen"]:
                self._listed = [copy.deepcopy(t.vm) for t in self.targets.values()]
            await asyncio.sleep(self.settings.vm_list_lag_s or 0.05)

    def listed(self):
        """Return the delayed VM list of the platform."""
        return self._listed

    def change_vm(self, name, action):
        """Change a VM.

        :param action: ``leave``, ``stay``, ``restart`` or ``remove``.
        """
        target = self.targets[name]
        if action == "leave":
            target.vm["state"] = "leaving"
        elif action == "stay":
            target.vm["state"] = "live"
        elif action == "restart":
            target.faults["dead"] = target.faults["frozen"] = False
            target.restart()
        elif action == "remove":
            # The engine still answers after its removal from the list; see ``find``.
            self._removed[name] = self.targets.pop(name)
        else:
            raise KeyError(action)

    @property
    def removed(self):
        """Targets whose VM is no longer listed, by name; they still answer."""
        return self._removed

    def find(self, name):
        """Return the target of a VM, which may have been removed from the list."""
        return self.targets.get(name) or self._removed.get(name)

    def faults_of(self, scope):
        """Return the knobs of ``table``, ``objects``, ``list``, ``weights`` or a VM."""
        fixed = {
            "table": self.table.faults,
            "objects": self.object_faults,
            "list": self.list_faults,
            "weights": self.weights.faults,
        }
        return fixed[scope] if scope in fixed else self.find(scope).faults

"""Orders to the engines of a shard, under its fencing token."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import LeaseLost, TargetError
from cowslipcourse.ports import Order, OrderKind

__all__ = ["OrderDispatcher"]

REPEAT_AFTER_S = 3.0

log = get_logger(__name__)


class OrderDispatcher:
    """Gives orders, not too often to one engine and not too many loads at once.

    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param repair: :class:`~cowslipcourse.settings.RepairSettings`
    """

    def __init__(self, targets, repair):
        self._targets = targets
        self._repair = repair
        self._ordered_at = {}
        self._loading = set()

    def note_loading(self, names):
        """Take in which VMs load at the moment."""
        at = now()
        recent = {n for n in self._loading if at - self._ordered_at[n][1] < 1.0}
        self._loading = recent | set(names)
        for name in names:
            self._ordered_at.setdefault(name, (None, at))

    @property
    def free_loads(self):
        """Loads that may still be started now."""
        return self._repair.loads_at_once - len(self._loading)

    async def load(self, lease, spec, member, weights_bytes):
        """Order a member to load what its group needs."""
        order = Order(
            OrderKind.LOAD,
            lease.fence,
            spec.group,
            spec.epoch,
            spec.model,
            spec.version,
            spec.adapters,
            spec.vm_names,
            max(1, weights_bytes // len(spec.members)),
        )
        if self.free_loads <= 0 and member.vm not in self._loading:
            return
        if await self._give(lease, member.vm, member.address, order):
            self._loading.add(member.vm)

    async def unload(self, lease, name, address):
        """Order a VM to drop what it holds."""
        await self._give(lease, name, address, Order(OrderKind.UNLOAD, lease.fence))

    async def _give(self, lease, name, address, order):
        at = now()
        last = self._ordered_at.get(name)
        if last is not None and last[0] == order and at - last[1] < REPEAT_AFTER_S:
            return False
        # Nothing may be awaited between this check and the send.
        if not lease.is_valid(at):
            raise LeaseLost(f"{lease.shard} lapsed before an order")
        self._ordered_at[name] = (order, at)
        log.info(
            "order",
            kind=order.kind,
            vm=name,
            group=order.group,
            epoch=order.epoch,
            fence=order.fence,
        )
        try:
            await self._targets.order(address, order)
        except TargetError as error:
            log.warning("order-failed", vm=name, code=error.code, detail=error.detail)
            return False
        return True

"""Orders to the engines of a shard, under its fencing token."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import LeaseLost, TargetError
from cowslipcourse.ports import Order, OrderKind

__all__ = ["OrderDispatcher"]

MIN_REPEAT_INTERVAL_S = 3.0

log = get_logger(__name__)


class OrderDispatcher:
    """Sends orders, limiting their repetition to an engine and the concurrent loads.

    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param repair_settings: :class:`~cowslipcourse.settings.RepairSettings`
    """

    def __init__(self, targets, repair_settings):
        self._targets = targets
        self._repair_settings = repair_settings
        self._last_orders = {}
        self._loading_vms = set()

    def update_loading(self, loading_vms):
        """Set which VMs are loading, as probed in this round.

        A VM that was ordered to load less than a second ago also counts as loading.
        """
        checked_at = now()
        recently_ordered = {
            vm_name
            for vm_name in self._loading_vms
            if checked_at - self._last_orders[vm_name][1] < 1.0
        }
        self._loading_vms = recently_ordered | set(loading_vms)
        for vm_name in loading_vms:
            self._last_orders.setdefault(vm_name, (None, checked_at))

    @property
    def free_load_slots(self):
        """Number of loads that may still be started."""
        return self._repair_settings.loads_at_once - len(self._loading_vms)

    async def load(self, lease, spec, member, weights_bytes):
        """Order a member to load its part of the group's model."""
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
        if self.free_load_slots <= 0 and member.vm not in self._loading_vms:
            return
        if await self._send(lease, member.vm, member.address, order):
            self._loading_vms.add(member.vm)

    async def unload(self, lease, vm_name, address):
        """Order a VM to unload what it holds."""
        await self._send(lease, vm_name, address, Order(OrderKind.UNLOAD, lease.fence))

    async def _send(self, lease, vm_name, address, order):
        checked_at = now()
        last_order = self._last_orders.get(vm_name)
        if (
            last_order is not None
            and last_order[0] == order
            and checked_at - last_order[1] < MIN_REPEAT_INTERVAL_S
        ):
            return False
        # No await may come between this check and the send: the lease could expire.
        if not lease.is_valid(checked_at):
            raise LeaseLost(
                f"{lease.shard}: the lease expired before an order was sent"
            )
        self._last_orders[vm_name] = (order, checked_at)
        log.info(
            "order",
            kind=order.kind,
            vm=vm_name,
            group=order.group,
            epoch=order.epoch,
            fence=order.fence,
        )
        try:
            await self._targets.order(address, order)
        except TargetError as error:
            log.warning(
                "order-failed", vm=vm_name, code=error.code, detail=error.detail
            )
            return False
        return True

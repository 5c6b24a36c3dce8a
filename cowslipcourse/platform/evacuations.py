"""Decodes the operators' requests to evacuate data centres from the store."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.platform.json_decoding import MAX_NAME_LENGTH

__all__ = ["apply_evacuation_rows", "decode_evacuation_key"]

KEY_PREFIX = "evacuate/"

log = get_logger(__name__)


def decode_evacuation_key(key):
    """Return the data centre that a row's key asks to evacuate, or ``None``.

    The value of the row says nothing, so that it need not be readable.

    :param key: key within the configuration table.
    """
    if not key.startswith(KEY_PREFIX):
        return None
    name = key.removeprefix(KEY_PREFIX)
    if not name or len(name) > MAX_NAME_LENGTH:
        log.warning("evacuation-refused", key=key[:MAX_NAME_LENGTH])
        return None
    return name


def apply_evacuation_rows(rows, data_centres=frozenset()):
    """Return the evacuated data centres after some rows, in their order.

    :param rows: iterable of :class:`~cowslipcourse.ports.StoredRow`
    :param data_centres: evacuated data centres before them.
    """
    evacuated = set(data_centres)
    for row in rows:
        name = decode_evacuation_key(row.key)
        if name is None:
            continue
        if row.deleted:
            evacuated.discard(name)
        else:
            evacuated.add(name)
    return frozenset(evacuated)

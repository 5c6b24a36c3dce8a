"""Exports of a package whose modules are imported when they are first used.

Daemons of entry VMs start several times a day and must serve at once; they need a few
modules of packages that they share with other programs.
"""

from importlib import import_module

__all__ = ["lazy_exports"]


def lazy_exports(package, modules_by_name):
    """Return a ``__getattr__`` for a package (see PEP 562).

    :param package: name of the package.
    :param modules_by_name: name of the module in the package, by exported name.
    """

    def get_export(name):
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get_export

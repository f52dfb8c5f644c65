"""Import the modules of a package when one of their names is first used.

An instance starts sooner, and takes less memory, without the parts of a package that
its kind of deployment never uses.
"""

from collections.abc import Callable
from importlib import import_module

__all__ = ["lazy_names"]


def lazy_names(package: str, *modules: str) -> Callable[[str], object]:
    """Return a ``__getattr__`` of a package that finds names in its modules.

    The modules are imported in the given order until one exports the name.
    """

    def get(name: str) -> object:
        if name in modules:
            return import_module(f"{package}.{name}")
        if not name.startswith("__"):
            for module_name in modules:
                module = import_module(f"{package}.{module_name}")
                if name in module.__all__:
                    return getattr(module, name)
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return get

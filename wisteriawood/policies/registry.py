"""Registries of named implementations, filled by decorators."""

import importlib
import pkgutil
import types
import typing

from wisteriawood import errors

Item = typing.TypeVar("Item")


class Registry(typing.Generic[Item]):
    """Implementations of one interface, by name.

    Args:
        kind: What is registered, for error messages.
    """

    __slots__ = ("_items", "kind")

    def __init__(self, *, kind: str):
        self.kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> typing.Callable[[Item], Item]:
        """Return a decorator that registers an implementation.

        Args:
            name: Name by which settings select it.
        """

        def _add(item: Item) -> Item:
            self._items[name] = item
            return item

        return _add

    def get(self, name: str) -> Item:
        """Return the implementation with a name.

        Raises:
            UsageError: The name is not registered; the message lists the
                registered ones.
        """
        if name not in self._items:
            raise errors.UsageError(
                f"unknown {self.kind} {name!r}; "
                f"choose one of {', '.join(self.names())}"
            )
        return self._items[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._items)


def load_modules(package: types.ModuleType) -> None:
    """Import each module of a package, so that its decorators run.

    Args:
        package: Package whose modules register implementations.
    """
    for module in pkgutil.iter_modules(package.__path__):
        if module.name == "__main__":
            continue
        importlib.import_module(f"{package.__name__}.{module.name}")

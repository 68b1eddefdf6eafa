"""Registries that decorators fill."""

import importlib
import pkgutil
import types
import typing

from wisteriawood import errors

Item = typing.TypeVar("Item")


class Registry(typing.Generic[Item]):
    """Named variants of one behaviour.

    Args:
        kind: What the variants are, for messages.
    """

    __slots__ = ("_items", "kind")

    def __init__(self, *, kind: str):
        self.kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> typing.Callable[[Item], Item]:
        """Return a decorator that adds a variant.

        Args:
            name: Name by which settings choose the variant.
        """

        def _add(item: Item) -> Item:
            self._items[name] = item
            return item

        return _add

    def get(self, name: str) -> Item:
        """Return the variant of a name.

        Raises:
            UsageError: There is none; the message lists the names.
        """
        if name not in self._items:
            raise errors.UsageError(
                f"no {self.kind} is named {name!r}; "
                f"choose one of {', '.join(self.names())}"
            )
        return self._items[name]

    def names(self) -> list[str]:
        """Return the names in order."""
        return sorted(self._items)


def load_modules(package: types.ModuleType) -> None:
    """Import each module of a package, so that its decorators run.

    Args:
        package: The package whose modules hold the variants.
    """
    for module in pkgutil.iter_modules(package.__path__):
        if module.name == "__main__":
            continue
        importlib.import_module(f"{package.__name__}.{module.name}")

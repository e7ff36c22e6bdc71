"""Registry of plug-ins by kind and name.

A plug-in module calls `register` when it is imported, so that a settings value
or a release note can select the plug-in by name. `load` imports the plug-in
modules of a package.
"""

from collections import abc
import importlib
import pkgutil
import typing

_plugins: dict[tuple[str, str], abc.Callable[..., typing.Any]] = {}


def register(kind: str, name: str) -> abc.Callable[[typing.Any], typing.Any]:
    """Returns a decorator that registers a class or function.

    Args:
      kind: Decision that the plug-in makes, such as `replica_choice`.
      name: Name by which settings and release notes select the plug-in.

    Raises:
      ValueError: Raised by the decorator when a plug-in of another module has
        the same kind and name.
    """

    def register_plugin(factory):
        registered = _plugins.get((kind, name))
        if (
            registered is not None
            and registered.__module__ != factory.__module__
        ):
            raise ValueError(f"plug-in {kind}/{name} is registered twice")
        _plugins[(kind, name)] = factory
        return factory

    return register_plugin


def get(kind: str, name: str) -> abc.Callable[..., typing.Any]:
    """Returns the plug-in of this kind and name.

    Raises:
      KeyError: There is no such plug-in; the message lists the known names.
    """
    try:
        return _plugins[(kind, name)]
    except KeyError:
        known_names = ", ".join(names(kind)) or "none"
        raise KeyError(
            f"no {kind} named {name!r}; known: {known_names}"
        ) from None


def names(kind: str) -> tuple[str, ...]:
    """Returns the registered names of one kind, sorted."""
    return tuple(sorted(n for k, n in _plugins if k == kind))


def kinds() -> tuple[str, ...]:
    """Returns the kinds that have a registered plug-in, sorted."""
    return tuple(sorted({k for k, _ in _plugins}))


def load(package_name: str) -> None:
    """Imports all modules of a package, which registers their plug-ins.

    Test modules are skipped.

    Args:
      package_name: Dotted name of the package.
    """
    package = importlib.import_module(package_name)
    for module in pkgutil.iter_modules(package.__path__):
        if not module.name.endswith("_test"):
            importlib.import_module(f"{package_name}.{module.name}")

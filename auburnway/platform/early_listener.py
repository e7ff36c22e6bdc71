"""Socket of an entry that listens before the entry's modules are imported."""

from collections import abc
import socket

from auburnway.net import listening

SETTINGS_VARIABLE = "AUBURNWAY_SETTINGS"


def open_socket(
    arguments: abc.Sequence[str], environment: abc.Mapping[str, str]
) -> socket.socket | None:
    """Returns the listening socket of the program to be run.

    Args:
      arguments: Command line without the name of the command.
      environment: Environment variables, which name the settings file.

    Returns:
      The socket; None for programs without clients, and for calls that are
      not the platform's.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path or list(arguments) != ["entry"]:
        return None
    return listening.listen_early(path, "client_address")

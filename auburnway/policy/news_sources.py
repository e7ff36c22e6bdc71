"""Choice of the control instances that send an entry news of backend servers.

Each control instance knows all backend servers, because the control instances
tell each other. If every one of them sent each change to every entry, the bytes
would grow with the product of their numbers, and most of them would cross data
centres. An entry therefore subscribes to a few sources, in its own data centre
if possible. It keeps streams to all control instances, so that another source
can take over as soon as one is lost; the new source sends what the entry lacks.
"""

from collections import abc
import hashlib

# With two sources, the loss of one delays no news.
SOURCE_COUNT = 2


def choose(
    connected: abc.Mapping[str, str | None],
    current: abc.Set[str],
    entry_name: str,
    data_center: str,
) -> frozenset[str]:
    """Returns the control instances to subscribe to.

    Args:
      connected: Data centre of each control instance with an established
        stream, by address; None while it is not known.
      current: Control instances that the entry is subscribed to.
      entry_name: Name of the entry, which spreads the entries evenly over the
        control instances.
      data_center: Data centre of the entry.
    """

    def sort_key(address: str):
        is_remote = connected[address] != data_center
        is_new = address not in current
        return (is_remote, is_new, _spread(entry_name, address))

    known = [a for a, location in connected.items() if location is not None]
    return frozenset(sorted(known, key=sort_key)[:SOURCE_COUNT])


def _spread(entry_name: str, address: str) -> bytes:
    text = f"{entry_name} {address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

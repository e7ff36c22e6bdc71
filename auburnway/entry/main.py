"""Command `auburnway-entry`."""

from auburnway.core import clock as clock_lib
from auburnway.entry import node
from auburnway.entry import settings as settings_lib
from auburnway.kernel import logs
from auburnway.kernel import process


def main() -> None:
    """Runs one entry until SIGTERM."""
    arguments = process.parse_arguments(
        "auburnway-entry",
        "Runs an entry, which serves callers and queries backend servers.",
    )
    settings = process.load_settings(
        settings_lib.EntrySettings, arguments.settings
    )
    logs.set_up(settings.name, arguments.log_level)
    loop = process.Loop(clock_lib.SystemClock())
    node.Entry(settings, loop)
    loop.run()


if __name__ == "__main__":
    main()

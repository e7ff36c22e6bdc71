"""Command `auburnway-standin`: fake backend servers for tests."""

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import logs
from auburnway.kernel import process
from auburnway.standin import host as host_lib
from auburnway.standin import settings


def main(arguments: list[str] | None = None) -> None:
    """Runs the backend servers of the settings file until all are drained."""
    options = process.parse_arguments(
        "auburnway-standin", "Fake backend servers for tests.", arguments
    )
    logs.set_up("standin", options.log_level)
    standin_settings = process.load_settings(
        settings.Settings, options.settings
    )
    loop = process.Loop(clock_lib.SystemClock())
    host = host_lib.Host(
        standin_settings, loop.root, loop.poller, loop.timers, loop.clock
    )
    host.start()
    loop.stack.callback(host.close)
    loop.on_stop = lambda: host.drain(loop.stop)
    loguru.logger.info("serving {} backend servers", len(host.backends))
    loop.run()


if __name__ == "__main__":
    main()

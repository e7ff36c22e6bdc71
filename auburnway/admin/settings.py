"""Settings of the operator's command."""

import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """Where the operator's command connects and who uses it."""

    control_addresses: tuple[str, ...] = settings.setting(
        "Control instances as ip:port; those that are down are passed over."
    )
    token: str = settings.setting("Fleet token, the same as in control.")
    author: str = settings.setting(
        "Operator's name, written to the audit trail."
    )
    entry_addresses: tuple[str, ...] = settings.setting(
        "Entries as ip:port that `status` also asks; those that are"
        " registered with control need not be listed.",
        (),
    )
    call_timeout_ms: float = settings.setting(
        "Longest time in ms that one call may take.",
        5000.0,
        low=10,
        high=600_000,
    )

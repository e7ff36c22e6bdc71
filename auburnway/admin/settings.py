"""Settings of the operator's command."""

import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """Addresses, token and author of the operator's command."""

    control_addresses: tuple[str, ...] = settings.setting(
        "Control instances as ip:port; those that are down are skipped."
    )
    token: str = settings.setting(
        "Fleet token, the same as in the settings of control."
    )
    author: str = settings.setting(
        "Operator's name, written to the audit trail."
    )
    entry_addresses: tuple[str, ...] = settings.setting(
        "Entries as ip:port that `status` also queries; entries that are"
        " registered with control need not be listed.",
        (),
    )
    call_timeout_ms: float = settings.setting(
        "Timeout of one call in ms.",
        5000.0,
        low=10,
        high=600_000,
    )

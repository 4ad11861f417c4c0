"""What operators tolerate above the rates that they set.

They count requests in windows, and take an account for within its limit up to
``(rate * window + burst) * (1 + tolerance) + slack`` requests in any of them.
"""

import dataclasses

from greengageshunt import config, model

# Part of the tolerance that is given to accounts. The rest covers requests on their way:
# those of one window may reach their targets in the next.
USED_PART = 0.5


def _not_negative(value: float) -> str | None:
    return None if value >= 0 else "a number of at least 0"


SETTINGS = (
    config.Setting(
        key="limits.tolerance",
        kind=float,
        default=0.0,
        doc="Part of a limit by which an account may exceed it in a window.",
        check=_not_negative,
    ),
    config.Setting(
        key="limits.slack",
        kind=float,
        default=0.0,
        doc="Requests by which an account may exceed its limit in a window.",
        check=_not_negative,
    ),
    config.Setting(
        key="limits.window",
        kind=float,
        default=5.0,
        doc="Seconds of the windows in which limits are counted.",
        check=config.is_positive,
    ),
)


def widen_account(
    account: model.ClientAccount, *, tolerance: float, slack: float, window: float
) -> model.ClientAccount:
    """Return an account with the rate that uses its part of the tolerance."""
    limit = account.rate * window + account.burst
    extra = USED_PART * (limit * tolerance + slack)
    return dataclasses.replace(account, rate=account.rate + extra / window)


def widen(
    configuration: model.Configuration, *, tolerance: float, slack: float, window: float
) -> model.Configuration:
    """Return a configuration whose accounts use their part of the tolerance."""
    accounts = tuple(
        widen_account(account, tolerance=tolerance, slack=slack, window=window)
        for account in configuration.accounts
    )
    return dataclasses.replace(configuration, accounts=accounts)

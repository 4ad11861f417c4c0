"""Widening of the accounts' rates by part of the tolerance that the operators set.

Operators count the requests of an account in windows of time. They accept up to
``(rate * window + burst) * (1 + tolerance) + slack`` requests in any window.
"""

import dataclasses

from greengageshunt import config, model

# Fraction of the tolerance that is added to the accounts' rates. The rest covers requests in
# transit, which are admitted in one window and may reach their targets in the next one.
USED_TOLERANCE_FRACTION = 0.5


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
    """Return an account whose rate is raised by part of the tolerance.

    Args:
        account: Client account with the rate and burst that the operators set.
        tolerance: Accepted excess as a fraction of the limit.
        slack: Accepted excess in requests a window.
        window: Length of the windows in seconds.
    """
    limit = account.rate * window + account.burst
    extra = USED_TOLERANCE_FRACTION * (limit * tolerance + slack)
    return dataclasses.replace(account, rate=account.rate + extra / window)


def widen(
    configuration: model.Configuration, *, tolerance: float, slack: float, window: float
) -> model.Configuration:
    """Return a configuration whose accounts' rates are raised by part of the tolerance."""
    accounts = tuple(
        widen_account(account, tolerance=tolerance, slack=slack, window=window)
        for account in configuration.accounts
    )
    return dataclasses.replace(configuration, accounts=accounts)

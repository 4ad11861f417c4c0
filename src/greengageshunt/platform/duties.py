"""Calls to the platform that are the duty of one entry VM at a time."""

import json

from greengageshunt import application, config, errors
from greengageshunt.stores import connection

CALL_TIMEOUT = 1.0  # seconds


class FailoverDuty:
    """Orders the platform to make a target the primary of its group."""

    def __init__(self, *, app: application.Application) -> None:
        self._caller = connection.HttpCaller(address=app.settings["duties.address"])

    async def make_primary(self, group: str, target: str, holder: str, token: int) -> bool:
        """Order a change of primary; return False if the platform rejected it.

        A rejected order had a token below one already seen, or its target is not
        running. For the present primary, an order changes nothing.

        Args:
            group: The group.
            target: Target that takes over.
            holder: Entry VM that orders.
            token: Fencing token.

        Raises:
            PlatformError: No answer, so that the order may be carried out later, or
                an answer that says that nothing was done.
        """
        step = f"make {target} primary of {group}"
        body = json.dumps({"service": group, "id": target}).encode()
        headers = {
            "Greengageshunt-Duty-Holder": holder,
            "Greengageshunt-Fencing-Token": str(token),
        }
        peer = self._caller.address
        try:
            response = await self._caller.call(
                "POST", "/failover", body=body, headers=headers, timeout=CALL_TIMEOUT
            )
        except connection.CallError as error:
            raise errors.PlatformError(
                str(error), step=step, peer=peer, effect_unknown=error.sent
            ) from error
        if response.status == 409:
            return False
        if response.status != 200:
            raise errors.PlatformError(
                f"answered {response.status}",
                step=step,
                peer=peer,
                effect_unknown=response.status not in (429, 503),
            )
        return True


def setup(app: application.Application) -> None:
    """Register the calls."""
    app.add_setting(
        config.Setting(
            key="duties.address",
            kind=str,
            doc="Address that takes orders to change a primary.",
            check=config.is_address,
        )
    )
    app.add_part("duty", "failover", lambda app: FailoverDuty(app=app))

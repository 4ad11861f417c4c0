"""Calls to the platform that only one entry VM at a time may make."""

import json
from collections import abc

from greengageshunt import application, config, errors
from greengageshunt.stores import connection


class FailoverDuty:
    """Requests the platform to make a target the primary of its group."""

    def __init__(self, *, app: application.Application) -> None:
        self._http_client = connection.HttpClient(address=app.settings["duties.address"])

    async def make_primary(
        self,
        group: str,
        target: str,
        holder: str,
        token: int,
        *,
        may_send: abc.Callable[[], bool],
        timeout: float,
    ) -> bool:
        """Request a change of primary; return False if the platform rejected it.

        The platform rejects a request whose fencing token is below one that it has
        already seen, or whose target is not running. A request for the target that is
        already the primary changes nothing.

        Args:
            group: The group.
            target: Target that becomes the primary.
            holder: Entry VM that sends the request.
            token: Fencing token.
            may_send: Whether the request may still be sent; called right before it is.
            timeout: Seconds to wait for the platform's response.

        Raises:
            PlatformError: The platform did not respond, or responded with an error. With
                ``effect_unknown``, it may still carry out the request later.
        """
        step = f"make {target} primary of {group}"
        body = json.dumps({"service": group, "id": target}).encode()
        headers = {
            "Greengageshunt-Duty-Holder": holder,
            "Greengageshunt-Fencing-Token": str(token),
        }
        peer = self._http_client.address
        try:
            response = await self._http_client.call(
                "POST",
                "/failover",
                body=body,
                headers=headers,
                timeout=timeout,
                may_send=may_send,
            )
        except connection.CallError as error:
            raise errors.PlatformError(
                str(error), step=step, peer=peer, effect_unknown=error.sent
            ) from error
        if response.status == 409:
            return False
        if response.status != 200:
            raise errors.PlatformError(
                f"responded with status {response.status}",
                step=step,
                peer=peer,
                effect_unknown=response.status not in (429, 503),
            )
        return True


def setup(app: application.Application) -> None:
    """Register the client of the platform's failover call."""
    app.add_setting(
        config.Setting(
            key="duties.address",
            kind=str,
            doc="Address that takes orders to change a primary.",
            check=config.is_address,
        )
    )
    app.add_part("duty", "failover", lambda app: FailoverDuty(app=app))

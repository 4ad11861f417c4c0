"""Peer messages by which an entry VM reads the share table from another one."""

import dataclasses

from greengageshunt.membership import shares
from greengageshunt.peers import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTableRequest:
    """Requests the share table that a peer has.

    Attributes:
        vm: Name of the entry VM that sends the request.
    """

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTableAnswer:
    """Response to ``ShareTableRequest``.

    Attributes:
        table: Newest table that the peer has, or None.
    """

    table: shares.ShareTable | None


messages.register(ShareTableRequest)
messages.register(ShareTableAnswer)

"""Messages with which entry VMs pass the share table on."""

import dataclasses

from greengageshunt.membership import shares
from greengageshunt.peers import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTableRequest:
    """Asks a peer for its share table."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTableAnswer:
    """Answer to ``ShareTableRequest``."""

    table: shares.ShareTable | None


messages.register(ShareTableRequest)
messages.register(ShareTableAnswer)

"""Which entry VMs hold a client account's limit, and which part of it each may use.

The parts depend only on the registered names and the limit, so their sum never exceeds the limit.
``docs/decisions/0012-grants.md`` contains the argument.
"""

import dataclasses
import itertools
import math
from collections import abc

from greengageshunt import model
from greengageshunt.coordination import lease
from greengageshunt.membership import ownership, topology

# Fraction of an account's limit that is divided among the reserves of all entry VMs.
RESERVE_FRACTION = 0.4

# Number of entry VMs among which the rest of the limit is divided. At usual load, one of them
# may fail without rejected requests.
HOLDER_COUNT = 3

# Fewest tokens in a window for which a holder is used. Its bucket holds at least one, which is
# taken off its rate where the burst is small; with smaller parts, more of the rate is lost.
MIN_HOLDER_TOKENS = 4.0

# Seconds after which unspent granted tokens expire.
GRANT_LIFETIME = 1.5

# Seconds after a change of the registered names until a new holder may grant tokens. A holder
# that missed the change grants tokens only until its confirmation expires, and the tokens of its
# last grant expire within this time too. If it were shorter, the old and the new holder could
# grant the same tokens.
HOLDER_HANDOVER = lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS + GRANT_LIFETIME


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegisteredNames:
    """Names of the registered entry VMs, and when this process first read them.

    Attributes:
        names: Names of entry VMs, sorted.
        hubs: Hubs of each failure domain, or empty if each entry VM may be a holder.
        first_read_at: Monotonic seconds of the first read; negative infinity for the names that
            the process read first after its start.
        position: Era and version of the control table that contained these names.
        drops_candidate: Whether the preceding names had a possible holder that these lack.
    """

    names: tuple[str, ...]
    first_read_at: float
    position: tuple[int, int]
    drops_candidate: bool = False
    hubs: tuple[tuple[str, ...], ...] = ()

    @property
    def candidates(self) -> frozenset[str]:
        """Names of the entry VMs that may be selected as holders of an account."""
        return frozenset(itertools.chain.from_iterable(self.hubs or (self.names,)))


def reserve_fraction(registered: RegisteredNames, limit: float = math.inf) -> float:
    """Return the fraction of a limit that is divided among the reserves of all entry VMs.

    A limit without a token in a window for each reserve of the largest fleet has none. This doesn't
    depend on the number of names, since entry VMs may know different ones.

    Args:
        registered: Names of the registered entry VMs.
        limit: Requests that the account may send in one window.
    """
    too_small = RESERVE_FRACTION * limit < topology.MAX_FULL_MESH_SIZE
    return 0.0 if registered.hubs or too_small else RESERVE_FRACTION


def holders_of(
    account: str, registered: RegisteredNames, limit: float = math.inf
) -> tuple[str, ...]:
    """Return the holders of an account among the registered names; a small limit has fewer.

    Args:
        account: Name of the client account.
        registered: Names of the registered entry VMs.
        limit: Requests that the account may send in one window.
    """

    def rank(names: abc.Iterable[str]) -> list[str]:
        return sorted(names, key=lambda name: ownership.score(account, name), reverse=True)

    if registered.hubs:
        holders = [rank(local)[0] for local in registered.hubs]
    else:
        holders = rank(registered.names)[:HOLDER_COUNT]
    granted = (1.0 - reserve_fraction(registered, limit)) * limit
    count = max(1, int(min(len(holders), granted / MIN_HOLDER_TOKENS)))
    return tuple(holders if count == len(holders) else rank(holders)[:count])


def may_grant(
    account: str,
    vm: str,
    history: abc.Sequence[RegisteredNames],
    common: tuple[int, int],
    now: float,
    limit: float = math.inf,
) -> bool:
    """Return whether an entry VM is a holder of an account and no earlier holder may still grant.

    Args:
        account: Name of the client account.
        vm: Name of the entry VM.
        history: Registered names, newest first.
        common: Era and version of the control table that all possible holders have read.
        now: Monotonic seconds.
        limit: Requests that the account may send in one window.
    """
    for registered in history:
        if vm not in holders_of(account, registered, limit):
            return False
        # A removed holder may not have read of its removal, and may still grant tokens.
        read_by_all = registered.position <= common and not registered.drops_candidate
        if read_by_all or now - registered.first_read_at >= HOLDER_HANDOVER:
            return True
    return bool(history)


def part_of(account: model.ClientAccount, part: float, window: float) -> tuple[float, float]:
    """Return the rate and the capacity of a bucket for a part of an account's limit.

    A bucket that holds less than one token admits nothing. What its capacity exceeds the part of
    the burst by is taken off its rate, so that it keeps to the part of the limit in each window.
    An account that may not send a whole request in a window keeps its rate.

    Args:
        account: The client account with its whole limit.
        part: Fraction of the limit, from 0 to 1.
        window: Length of the windows in seconds.
    """
    rate, capacity = account.rate * part, max(1.0, account.burst * part)
    if account.rate * window + account.burst < 1.0:
        return rate, capacity
    return max(0.0, rate - (capacity - account.burst * part) / window), capacity

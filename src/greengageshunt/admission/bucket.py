"""Token bucket of one client account on one entry VM."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bucket:
    """State of a token bucket.

    Attributes:
        rate: Tokens added a second.
        capacity: Maximum number of tokens.
        tokens: Tokens at ``updated_at``.
        updated_at: Monotonic seconds of the last refill.
    """

    rate: float
    capacity: float
    tokens: float
    updated_at: float


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket with the tokens added until ``now``; an earlier time changes nothing."""
    elapsed = max(0.0, now - bucket.updated_at)
    tokens = min(bucket.capacity, bucket.tokens + elapsed * bucket.rate)
    return dataclasses.replace(bucket, tokens=tokens, updated_at=max(now, bucket.updated_at))


def resize(bucket: Bucket, rate: float, capacity: float, now: float) -> Bucket:
    """Return the bucket with another rate and capacity.

    Tokens above the new capacity are discarded.
    """
    filled = refill(bucket, now)
    tokens = min(filled.tokens, capacity)
    return dataclasses.replace(filled, rate=rate, capacity=capacity, tokens=tokens)


def take(bucket: Bucket, amount: float, now: float) -> tuple[Bucket, bool]:
    """Return the bucket after an attempt to take tokens, and whether it had enough."""
    filled = refill(bucket, now)
    if filled.tokens < amount:
        return filled, False
    return dataclasses.replace(filled, tokens=filled.tokens - amount), True


def time_until(bucket: Bucket, amount: float, now: float) -> float:
    """Return the seconds until refills bring an amount of tokens, or infinity without refills."""
    missing = amount - refill(bucket, now).tokens
    if missing <= 0:
        return 0.0
    return missing / bucket.rate if bucket.rate > 0 else float("inf")

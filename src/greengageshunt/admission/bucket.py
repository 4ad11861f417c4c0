"""Token bucket of one client account on one entry VM."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bucket:
    """State of a token bucket.

    Attributes:
        rate: Tokens added a second.
        capacity: Tokens held at most.
        tokens: Tokens held at ``updated_at``.
        updated_at: Monotonic seconds.
    """

    rate: float
    capacity: float
    tokens: float
    updated_at: float


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket at a later time."""
    elapsed = max(0.0, now - bucket.updated_at)
    tokens = min(bucket.capacity, bucket.tokens + elapsed * bucket.rate)
    return dataclasses.replace(bucket, tokens=tokens, updated_at=max(now, bucket.updated_at))


def resize(bucket: Bucket, rate: float, capacity: float, now: float) -> Bucket:
    """Return the bucket with another rate and capacity; tokens above it are lost."""
    filled = refill(bucket, now)
    tokens = min(filled.tokens, capacity)
    return dataclasses.replace(filled, rate=rate, capacity=capacity, tokens=tokens)


def take(bucket: Bucket, amount: float, now: float) -> tuple[Bucket, bool]:
    """Return the bucket after an attempt to take tokens, and whether it had them."""
    filled = refill(bucket, now)
    if filled.tokens < amount:
        return filled, False
    return dataclasses.replace(filled, tokens=filled.tokens - amount), True


def time_until(bucket: Bucket, amount: float, now: float) -> float:
    """Return the seconds until the bucket holds an amount of tokens."""
    missing = amount - refill(bucket, now).tokens
    if missing <= 0:
        return 0.0
    return missing / bucket.rate if bucket.rate > 0 else float("inf")

"""Admission policy with one token bucket for each client account, on one entry VM.

Other policies are measured against this baseline. It enforces the exact limit only while the
members stay the same, because a new holder starts with a full bucket. It rejects requests
while the entry VM that holds the bucket is unreachable.
"""

import dataclasses

from greengageshunt import application, errors, model
from greengageshunt.admission import bucket, decision
from greengageshunt.membership import ownership
from greengageshunt.peers import messages

RESPONSE_TIMEOUT = 0.25  # seconds to wait for the entry VM that holds the bucket


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeToken:
    """Requests a token from the entry VM that holds an account's bucket."""

    account: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenTaken:
    """Response to ``TakeToken``.

    Attributes:
        admitted: Whether a token was taken.
        retry_after: Seconds until the bucket has a token again.
    """

    admitted: bool
    retry_after: float


messages.register(TakeToken)
messages.register(TokenTaken)


def take(
    held: bucket.Bucket | None, account: model.ClientAccount, now: float
) -> tuple[bucket.Bucket, TokenTaken]:
    """Return the bucket after an attempt to take a token, and the response.

    Without a bucket, this starts with a full one.
    """
    if held is None:
        held = bucket.Bucket(
            rate=account.rate, capacity=account.burst, tokens=account.burst, updated_at=now
        )
    held = bucket.resize(held, account.rate, account.burst, now)
    held, admitted = bucket.take(held, 1.0, now)
    return held, TokenTaken(admitted=admitted, retry_after=bucket.time_until(held, 1.0, now))


class CentralBucket:
    """Takes each token from the bucket on the entry VM that rendezvous hashing selects."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._configuration = app.part("configuration", "state")
        self._buckets: dict[str, bucket.Bucket] = {}
        app.part("peers", "server").add_handler(TakeToken, self._handle_request)

    @property
    def ready(self) -> bool:
        """Whether requests can be admitted."""
        return True

    async def admit(
        self, account: model.ClientAccount, deadline: float
    ) -> decision.AdmissionDecision:
        """Decide whether one request of a client account may run.

        Args:
            account: The client account.
            deadline: Monotonic seconds after which the caller no longer waits.
        """
        holder = ownership.rank(account.name, self._view.members)[0]
        if holder.vm == self._view.me.vm:
            taken = self._take(account)
        else:
            try:
                taken = await self._links.request(
                    holder.vm, TakeToken(account=account.name), RESPONSE_TIMEOUT
                )
            except (errors.PeerError, errors.RefusedError):
                return decision.AdmissionDecision(
                    admitted=False, reason="the bucket's VM did not answer", retry_after=1.0
                )
        return decision.AdmissionDecision(
            admitted=taken.admitted,
            reason="within the central bucket" if taken.admitted else "above the central bucket",
            retry_after=min(taken.retry_after, 1.0),
        )

    async def _handle_request(self, message: TakeToken, received_at: float) -> TokenTaken:
        account = self._configuration.current.accounts_by_name.get(message.account)
        if account is None:
            return TokenTaken(admitted=False, retry_after=1.0)
        return self._take(account)

    def _take(self, account: model.ClientAccount) -> TokenTaken:
        held, taken = take(self._buckets.get(account.name), account, self._app.clock())
        self._buckets[account.name] = held
        return taken


def setup(app: application.Application) -> None:
    """Register the policy with central buckets."""
    app.add_part("admission", "central_bucket", lambda app: CentralBucket(app=app))

"""Admission policy that divides each rate and burst evenly among the entry VMs: a baseline."""

from greengageshunt import application, model
from greengageshunt.admission import bucket, decision


class StaticSplit:
    """Admits requests within the even part of this entry VM in each account's rate and burst."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._buckets: dict[str, bucket.Bucket] = {}

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
        now = self._app.clock()
        held, admitted = bucket.take(self._bucket(account, now), 1.0, now)
        self._buckets[account.name] = held
        return decision.AdmissionDecision(
            admitted=admitted,
            reason="within the even split" if admitted else "above the even split",
            retry_after=bucket.time_until(held, 1.0, now),
        )

    def _bucket(self, account: model.ClientAccount, now: float) -> bucket.Bucket:
        vms = len(self._view.members)
        rate, capacity = account.rate / vms, account.burst / vms
        held = self._buckets.get(account.name)
        if held is None:
            return bucket.Bucket(rate=rate, capacity=capacity, tokens=capacity, updated_at=now)
        return bucket.resize(held, rate, capacity, now)


def setup(app: application.Application) -> None:
    """Register the policy with an even split."""
    app.add_part("admission", "static_split", lambda app: StaticSplit(app=app))

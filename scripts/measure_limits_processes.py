"""Measures the rates of 8 accounts over 8 proxies with real processes on loopback.

Each account's connections are on one proxy. The first small account sends five times
its rate, the others 80%. Latency is not measured, since the machine may be shared.
"""

import argparse
import asyncio
import bisect
import dataclasses
import pathlib
import random
import tempfile
import time

import aiohttp

from greengageshunt import model
from greengageshunt.admission import bucket
from greengageshunt.configuration import keys
from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout

GROUP = "limits-1"
OVERLOADED = "small-1"
OVERLOAD_FACTOR = 5.0  # times its rate that the overloaded account sends
NORMAL_FACTOR = 0.8  # times their rate that the other accounts send
WARM_UP = 6.0  # seconds from the start of the fleet to the first request, so that buckets fill
PROFILE = layout.Profile(
    name="limits",
    failure_domains=("klang", "seremban"),
    vms=8,
    service="limits",
    groups=1,
    instances=3,
    slots=8,
    connections=60,
    connect_ms=0.0,
)
ACCOUNTS = (
    *(
        model.ClientAccount(name=f"large-{number}", weight=4.0, rate=40.0, burst=40.0)
        for number in (1, 2)
    ),
    *(
        model.ClientAccount(name=f"small-{number}", weight=1.0, rate=10.0, burst=20.0)
        for number in range(1, 7)
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentRequest:
    """One request, with the monotonic seconds at which its caller sent it and got a response."""

    sent_at: float
    answered_at: float
    admitted: bool


def build_configuration() -> tuple[model.Configuration, dict[str, str]]:
    """Return a configuration with one key for each account, and the API keys by account."""
    issued = {
        account.name: keys.create_key(f"key-{account.name}", account.name) for account in ACCOUNTS
    }
    route = model.Route(
        name="count",
        group=GROUP,
        kind=model.RouteKind.READ,
        statement="SELECT count(*) FROM orders",
        staleness=5.0,
    )
    configuration = model.Configuration(
        version=1,
        accounts=ACCOUNTS,
        keys=tuple(key for key, _ in issued.values()),
        routes=(route,),
        token_secret="5e" * 32,
    )
    return configuration, {name: text for name, (_, text) in issued.items()}


async def send(
    fleet: fleet_module.Fleet, account: model.ClientAccount, key: str, seconds: float, seed: int
) -> list[SentRequest]:
    """Send the requests of one account at random times to its proxy."""
    source = random.Random(f"{seed} {account.name}")
    vm = fleet.layout.vms[ACCOUNTS.index(account) % len(fleet.layout.vms)]
    url = f"http://{vm.http_address}/v1/routes/count"
    headers = {"Authorization": f"Bearer {key}", "Timeout-Ms": "5000"}
    rate = account.rate * (OVERLOAD_FACTOR if account.name == OVERLOADED else NORMAL_FACTOR)
    requests: list[SentRequest] = []

    async def request() -> None:
        sent_at = time.monotonic()
        async with fleet.session.post(url, json={"parameters": {}}, headers=headers) as response:
            await response.read()
            admitted = response.status != 429
        requests.append(
            SentRequest(sent_at=sent_at, answered_at=time.monotonic(), admitted=admitted)
        )

    end = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end:
            await asyncio.sleep(source.expovariate(rate))
            group.create_task(request())
    return sorted(requests, key=lambda each: each.sent_at)


def worst_excess(account: model.ClientAccount, sent: list[SentRequest]) -> float:
    """Return the highest excess over rate * W + burst in a window of W seconds.

    Windows begin when an admitted request is sent and end when one is answered.
    """
    admitted = [each for each in sent if each.admitted]
    worst = 0.0
    ends: list[float] = []
    for start in reversed(admitted):
        bisect.insort(ends, start.answered_at)
        for count, end in enumerate(ends, start=1):
            worst = max(worst, count - account.rate * (end - start.sent_at) - account.burst)
    return worst


def count_wrongly_rejected(
    account: model.ClientAccount, sent: list[SentRequest]
) -> tuple[int, int]:
    """Return the number of requests within rate and burst, and of those that were rejected."""
    held = bucket.Bucket(
        rate=account.rate, capacity=account.burst, tokens=account.burst, updated_at=sent[0].sent_at
    )
    within = refused = 0
    for each in sent:
        held, taken = bucket.take(held, 1.0, each.sent_at)
        within += taken
        refused += taken and not each.admitted
    return within, refused


async def measure(policy: str, seconds: float, seed: int) -> None:
    """Run one admission policy and print its figures."""
    configuration, texts = build_configuration()
    base_port = fleet_module.free_base_port(layout.ports_needed(PROFILE))
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleet_module.Fleet(
            layout=layout.build(PROFILE, base_port),
            directory=pathlib.Path(directory),
            schema="CREATE TABLE IF NOT EXISTS orders (id INTEGER PRIMARY KEY);\n",
            extra_settings=f'[parts]\nadmission = "{policy}"\n',
        )
        try:
            await fleet.start(configuration)
            await asyncio.sleep(WARM_UP)
            runs = [send(fleet, each, texts[each.name], seconds, seed) for each in ACCOUNTS]
            results = dict(zip(ACCOUNTS, await asyncio.gather(*runs), strict=True))
            logs = "".join(fleet.log_path(vm.member.vm).read_text() for vm in fleet.layout.vms)
        except aiohttp.ClientError as error:
            raise SystemExit(f"the fleet did not answer: {error}") from error
        finally:
            await fleet.stop()
    excess = max(worst_excess(account, sent) for account, sent in results.items())
    normal = [
        count_wrongly_rejected(account, sent)
        for account, sent in results.items()
        if account.name != OVERLOADED
    ]
    within = sum(count for count, _ in normal)
    refused = sum(count for _, count in normal)
    print(
        f"{policy:<15} requests {sum(map(len, results.values())):>6}  excess {excess:.2f}"
        f"  within rate {within}  wrongly refused {refused} ({refused / within * 100:.3f}%)"
        f"  violated invariants {logs.count('invariant violated')}"
    )


def main() -> None:
    """Print the figures of the policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0, help="length of a run")
    parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals")
    parser.add_argument("--policies", nargs="*", default=["leased_shares", "static_split"])
    arguments = parser.parse_args()
    for policy in arguments.policies:
        asyncio.run(measure(policy, arguments.seconds, arguments.seed))


if __name__ == "__main__":
    main()

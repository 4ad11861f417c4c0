"""Layouts of development fleets: targets, entry VMs, addresses and settings."""

import dataclasses

from greengageshunt import model

# Consecutive ports that the platform, each target stand-in and each entry VM reserve.
PORTS_PER_PROCESS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Sizes of one deployment.

    Attributes:
        name: Name of the profile.
        failure_domains: Names of the failure domains.
        vms: Number of entry VMs.
        service: Prefix of the groups' names.
        groups: Number of groups.
        instances: Number of targets in each group.
        slots: Number of statements that a target runs concurrently.
        connections: Highest number of open client connections of a target.
        connect_ms: Milliseconds that opening a connection to a target takes.
        domain_latency_ms: One-way latency between failure domains in milliseconds; 0 for
            no relay.
        caller_latency_ms: One-way latency between callers and entry VMs in milliseconds.
    """

    name: str
    failure_domains: tuple[str, ...]
    vms: int
    service: str
    groups: int
    instances: int
    slots: int
    connections: int
    connect_ms: float
    domain_latency_ms: float = 0.0
    caller_latency_ms: float = 0.0


PPGM = Profile(
    name="ppgm",
    failure_domains=("shah-alam", "cyberjaya", "klang", "seremban"),
    vms=8,
    service="order-desk",
    groups=3,
    instances=3,
    slots=2,
    connections=15,
    connect_ms=10.0,
    domain_latency_ms=1.5,
    caller_latency_ms=1.0,
)

HIMAL = Profile(
    name="himal",
    failure_domains=("patan", "kirtipur", "bhaktapur"),
    vms=8,
    service="imprint-ledger",
    groups=3,
    instances=3,
    slots=3,
    connections=40,
    connect_ms=25.0,
    domain_latency_ms=1.0,
    caller_latency_ms=1.0,
)

SMALL = Profile(
    name="small",
    failure_domains=("shah-alam", "cyberjaya", "klang"),
    vms=3,
    service="order-desk",
    groups=1,
    instances=3,
    slots=2,
    connections=15,
    connect_ms=10.0,
)

PROFILES = {profile.name: profile for profile in (PPGM, HIMAL, SMALL)}


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVm:
    """Addresses of one entry VM of a development fleet.

    Attributes:
        member: The entry VM, with the address on which its peer server listens.
        http_address: ``host:port`` for callers.
        metrics_address: ``host:port`` of the proxy's metrics page.
        failover_metrics_address: ``host:port`` of the failover daemon's metrics page.
        relay_address: ``host:port`` of the relay, through which VMs of other failure
            domains reach the peer server if the profile has a latency between domains.
    """

    member: model.Member
    http_address: str
    metrics_address: str
    failover_metrics_address: str
    relay_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """All processes of a development fleet.

    Attributes:
        profile: Sizes of the deployment.
        platform_address: ``host:port`` of the platform stand-in.
        groups: Records of the groups at the start, in term 1.
        control_addresses: ``host:port`` of the control interface by target name.
        vms: Entry VMs.
    """

    profile: Profile
    platform_address: str
    groups: tuple[model.GroupRecord, ...]
    control_addresses: dict[str, str]
    vms: tuple[EntryVm, ...]


def ports_needed(profile: Profile) -> int:
    """Return the number of consecutive ports that a fleet reserves."""
    processes = 1 + profile.groups * profile.instances + profile.vms
    return processes * PORTS_PER_PROCESS


def _address(port: int) -> str:
    return f"127.0.0.1:{port}"


def _target(profile: Profile, group: str, index: int, domain: str, port: int) -> model.Target:
    return model.Target(
        name=f"{group}-{'abcdefgh'[index]}",
        failure_domain=domain,
        address=_address(port),
        replication_address=_address(port + 1),
        connection_limit=profile.connections,
        slots=profile.slots,
    )


def build(profile: Profile, base_port: int) -> Layout:
    """Return the layout of a fleet whose first port is ``base_port``."""
    domains = profile.failure_domains
    port = base_port + PORTS_PER_PROCESS
    groups = []
    control_addresses = {}
    for number in range(profile.groups):
        name = f"{profile.service}-{number + 1}"
        targets = []
        for index in range(profile.instances):
            domain = domains[(number + index) % len(domains)]
            target = _target(profile, name, index, domain, port)
            control_addresses[target.name] = _address(port + 2)
            targets.append(target)
            port += PORTS_PER_PROCESS
        groups.append(
            model.GroupRecord(
                group=name,
                term=1,
                primary=targets[0].name,
                targets=tuple(targets),
                history=(model.TermStart(term=1, first_offset=1),),
            )
        )
    vms = []
    for number in range(profile.vms):
        member = model.Member(
            vm=f"vm-{number + 1}",
            failure_domain=domains[number % len(domains)],
            peer_address=_address(port + 1),
            http_address=_address(port),
        )
        vms.append(
            EntryVm(
                member=member,
                http_address=_address(port),
                metrics_address=_address(port + 2),
                failover_metrics_address=_address(port + 3),
                relay_address=_address(port + 4),
            )
        )
        port += PORTS_PER_PROCESS
    return Layout(
        profile=profile,
        platform_address=_address(base_port),
        groups=tuple(groups),
        control_addresses=control_addresses,
        vms=tuple(vms),
    )


def proxy_settings(layout: Layout, vm: EntryVm, strict: bool) -> str:
    """Return the settings file of an entry VM's proxy as TOML text."""
    return (
        f'[vm]\nname = "{vm.member.vm}"\n'
        f'failure_domain = "{vm.member.failure_domain}"\n'
        f'peer_address = "{vm.member.peer_address}"\n'
        f'[http]\naddress = "{vm.http_address}"\n'
        f'[platform]\naddress = "{layout.platform_address}"\n'
        f'[metrics]\naddress = "{vm.metrics_address}"\n'
        f"[invariants]\nstrict = {str(strict).lower()}\n"
    )


def failover_settings(layout: Layout, vm: EntryVm, strict: bool) -> str:
    """Return the settings file of an entry VM's failover daemon as TOML text."""
    return (
        f'[vm]\nname = "{vm.member.vm}"\n'
        f'failure_domain = "{vm.member.failure_domain}"\n'
        f'[platform]\naddress = "{layout.platform_address}"\ntimeout = 1.0\n'
        f"[invariants]\nstrict = {str(strict).lower()}\n"
        f'[metrics]\naddress = "{vm.failover_metrics_address}"\n'
    )

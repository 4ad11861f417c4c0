"""Status of one proxy, as operators read it over HTTP; contains no secrets."""

import dataclasses
import math
import uuid

from aiohttp import web

from greengageshunt import application, codec, model

PATH = "/v1/status"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupStatus:
    """State of a group as one proxy knows it.

    Attributes:
        group: Name of the group.
        term: Term of the newest known record.
        revision: Revision of that record.
        primary: Name of the primary target.
        draining: Names of targets that get no new work.
    """

    group: str
    term: int
    revision: int
    primary: str
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmStatus:
    """Status of one proxy.

    Attributes:
        vm: Name of the entry VM.
        failure_domain: Its failure domain.
        incarnation: Random identifier of the process; a restart changes it.
        version: Configuration version in force; 0 for none.
        settled: Whether the proxy has caught up with all accepted versions since its start.
        confirmed: Whether the proxy accepts keys; otherwise it serves open routes only.
        confirmation_age: Seconds since the configuration was last confirmed as the newest, or
            None if it never was.
        leaving: Whether the proxy takes no new work.
        members: Member list of the proxy; empty if it has not read one yet.
        groups: State of each group that the proxy knows.
    """

    vm: str
    failure_domain: str
    incarnation: str
    version: int
    settled: bool
    confirmed: bool
    confirmation_age: float | None
    leaving: bool
    members: tuple[model.Member, ...]
    groups: tuple[GroupStatus, ...]


class StatusEndpoint:
    """Answers HTTP requests for the status."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._confirmation = app.part("membership", "confirmation")
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._incarnation = uuid.uuid4().hex

    async def __call__(self, request: web.Request) -> web.Response:
        """Return the status as JSON."""
        return web.json_response(text=codec.to_json(self.status(self._app.clock())))

    def status(self, now: float) -> VmStatus:
        """Return the status at the time ``now``, in monotonic seconds."""
        confirmed_at = self._confirmation.confirmed_at(now)
        members = self._view.members if self._view.list_read else ()
        return VmStatus(
            vm=self._view.me.vm,
            failure_domain=self._view.me.failure_domain,
            incarnation=self._incarnation,
            version=self._configuration.version,
            settled=self._confirmation.caught_up,
            confirmed=now < self._confirmation.valid_until(now),
            confirmation_age=None if math.isinf(confirmed_at) else round(now - confirmed_at, 3),
            leaving=self._app.stopping,
            members=tuple(sorted(members, key=lambda member: member.vm)),
            groups=tuple(
                GroupStatus(
                    group=record.group,
                    term=record.term,
                    revision=record.revision,
                    primary=record.primary,
                    draining=record.draining,
                )
                for record in sorted(self._directory.records, key=lambda record: record.group)
            ),
        )


def setup(app: application.Application) -> None:
    """Register the endpoint for the status."""
    app.add_part("endpoint", PATH, lambda app: StatusEndpoint(app=app))

"""HTTP interface for operators."""

import functools
import json
import secrets
from decimal import Decimal

import msgspec
from aiohttp import web

from galenarill.common import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    OperatorId,
    VmId,
)
from galenarill.entry.control import ControlPlane
from galenarill.entry.evacuation import EvacuationMonitor
from galenarill.entry.keyring import KeyRing
from galenarill.entry.operators import Operators, Role
from galenarill.entry.problems import RunState, problem_response
from galenarill.errors import AuthenticationError, NotLeaderError
from galenarill.settings import slots_in_units
from galenarill.state import (
    Edit,
    EditSettings,
    EvacuateZone,
    GiveKey,
    MoveVm,
    Outcome,
    OutcomeCode,
    RestoreZone,
    StartDrain,
    WithdrawKey,
)

__all__ = ["AdminInterface"]

OUTCOME_STATUS = {
    OutcomeCode.ACCEPTED: 200,
    OutcomeCode.CONFLICT: 409,
    OutcomeCode.INVALID: 422,
    OutcomeCode.NOT_FOUND: 404,
    OutcomeCode.BUDGET_SPENT: 409,
    OutcomeCode.STALE: 409,
}
_encode = msgspec.json.Encoder(decimal_format="number").encode


def _requires_role(role: Role):
    """Require `role` of the operator, and convert errors to problems."""

    def decorate(handler):
        @functools.wraps(handler)
        async def wrapped(self, request: web.Request) -> web.Response:
            try:
                operator = self._operators.authenticate(
                    request.headers.get("Authorization"), role
                )
                return await handler(self, request, operator)
            except AuthenticationError as error:
                return problem_response(401, "operator-unknown", str(error))
            except PermissionError as error:
                return problem_response(403, "role-too-low", str(error))
            except NotLeaderError as error:
                return problem_response(
                    503,
                    "no-leader",
                    f"{error}; resend with the same change id",
                    RunState.UNKNOWN,
                    retry_after=1,
                )
            except (ValueError, KeyError, TypeError) as error:
                detail = f"not a valid change: {error!r}"
                return problem_response(400, "bad-request", detail)

        return wrapped

    return decorate


class AdminInterface:
    """Shows the replicated state to operators, and proposes their changes."""

    def __init__(
        self,
        control: ControlPlane,
        keys: KeyRing,
        operators: Operators,
        evacuations: EvacuationMonitor,
        get_status,
    ):
        """Make the interface of one entry VM.

        Args:
            control: Control plane of this VM.
            keys: Key ring of this VM.
            operators: Operators and their roles.
            evacuations: Evacuations as the entry VMs enforce them.
            get_status: Returns the status of this VM as a dict.
        """
        self._control = control
        self._keys = keys
        self._operators = operators
        self._evacuations = evacuations
        self._get_status = get_status

    def add_routes(self, app: web.Application) -> None:
        """Add the operators' endpoints to `app`."""
        router = app.router
        router.add_get("/v1/admin/status", self._status)
        router.add_get("/v1/admin/settings", self._show_settings)
        router.add_post("/v1/admin/settings", self._edit_settings)
        router.add_get("/v1/admin/history", self._history)
        router.add_get("/v1/admin/keys", self._list_keys)
        router.add_post("/v1/admin/keys", self._give_key)
        router.add_post("/v1/admin/keys/{key}/withdrawal", self._withdraw_key)
        router.add_post("/v1/admin/vms/{vm}/drain", self._drain)
        router.add_post("/v1/admin/vms/{vm}/move", self._move)
        zone_path = "/v1/admin/zones/{zone}"
        router.add_post(f"{zone_path}/evacuation", self._evacuate_zone)
        router.add_post(f"{zone_path}/restoration", self._restore_zone)

    @_requires_role(Role.READ)
    async def _status(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        state = self._control.state
        return _json_response(
            {
                **self._get_status(),
                "version": state.version,
                "vms": msgspec.to_builtins(state.vms),
                "teams": {
                    name: self._describe_team(name)
                    for name in sorted(state.limits)
                },
                "evacuated_zones": {
                    zone: msgspec.structs.asdict(order)
                    for zone, order in state.evacuated_zones.items()
                },
            }
        )

    def _describe_team(self, name: str) -> dict:
        settings = self._control.state.settings
        escrow = self._control.state.limits[name]
        description = {
            "upper_limit_slots": escrow.limit,
            "allotments": escrow.targets,
            "held": escrow.held,
        }
        team = settings.teams.get(name)
        if team is not None:
            description["share"] = team.share
        if team is not None and team.contract is not None:
            contract = team.contract
            used = slots_in_units(settings, contract, escrow.limit)
            description["contract"] = {
                "unit": contract.unit,
                "unit_version": contract.unit_version,
                "limit": contract.limit,
                "upper_limit_in_units": str(used),
            }
        return description

    @_requires_role(Role.READ)
    async def _show_settings(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        state = self._control.state
        return _json_response(
            {"version": state.version, "settings": state.raw_settings}
        )

    @_requires_role(Role.READ)
    async def _history(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        entries = msgspec.to_builtins(list(self._control.state.audit))
        keys = ("version", "at", "operator", "text")
        rows = [dict(zip(keys, entry, strict=True)) for entry in entries]
        return _json_response({"history": rows})

    @_requires_role(Role.READ)
    async def _list_keys(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        rows = [
            {
                "key_id": record.key_id,
                "team": record.team,
                "is_withdrawn": record.is_withdrawn
                or self._keys.is_withdrawn(record.key_id),
            }
            for record in self._control.state.keys.values()
        ]
        return _json_response(
            {"keys": rows, "withdrawn": sorted(self._keys.withdrawn)}
        )

    @_requires_role(Role.ADMINISTER)
    async def _edit_settings(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        body = await _read_json(request)
        edits = tuple(
            Edit(
                tuple(str(part) for part in edit["path"]),
                edit.get("value"),
                bool(edit.get("is_removed", False)),
            )
            for edit in body["edits"]
        )
        return await self._propose(request, operator, EditSettings(edits))

    @_requires_role(Role.ADMINISTER)
    async def _give_key(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        body = await _read_json(request)
        command = msgspec.convert(
            [
                GiveKey.__struct_config__.tag,
                body["key_id"],
                body["team"],
                body["digest"],
            ],
            GiveKey,
        )
        return await self._propose(request, operator, command)

    @_requires_role(Role.OPERATE)
    async def _withdraw_key(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        key_id = KeyId(request.match_info["key"])
        # The withdrawal takes effect at once on this VM, and over the links on
        # the others, without waiting for a majority. The log orders it
        # afterwards.
        self._keys.withdraw([key_id])
        return await self._propose(request, operator, WithdrawKey(key_id))

    @_requires_role(Role.OPERATE)
    async def _drain(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        body = await _read_json(request)
        command = StartDrain(
            request.match_info["vm"], str(body.get("reason", "operator"))
        )
        return await self._propose(request, operator, command)

    @_requires_role(Role.OPERATE)
    async def _move(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        body = await _read_json(request)
        command = MoveVm(
            request.match_info["vm"],
            str(body["from_pool"]),
            str(body["to_pool"]),
        )
        return await self._propose(request, operator, command)

    @_requires_role(Role.OPERATE)
    async def _evacuate_zone(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        body = await _read_json(request)
        zone = AvailabilityZoneId(request.match_info["zone"])
        command = EvacuateZone(zone, str(body.get("reason", "operator")))
        outcome = await self._submit(request, operator, command)
        unconfirmed: list[VmId] = []
        if outcome.is_accepted:
            unconfirmed = await self._evacuations.wait_confirmed(zone)
        return _outcome_response(outcome, unconfirmed=unconfirmed)

    @_requires_role(Role.OPERATE)
    async def _restore_zone(
        self, request: web.Request, operator: OperatorId
    ) -> web.Response:
        zone = AvailabilityZoneId(request.match_info["zone"])
        return await self._propose(request, operator, RestoreZone(zone))

    async def _propose(
        self, request: web.Request, operator: OperatorId, command
    ) -> web.Response:
        return _outcome_response(await self._submit(request, operator, command))

    async def _submit(
        self, request: web.Request, operator: OperatorId, command
    ) -> Outcome:
        change_id = request.headers.get("Galenarill-Change-Id")
        based_on = request.headers.get("If-Match", "-1").strip('"')
        return await self._control.propose(
            command,
            operator,
            ChangeId(change_id or secrets.token_hex(12)),
            int(based_on),
        )


def _outcome_response(outcome: Outcome, **details) -> web.Response:
    body = {
        "outcome": outcome.code.value,
        "version": outcome.version,
        "detail": outcome.detail,
        "faults": [
            {"path": path, "text": text} for path, text in outcome.faults
        ],
        **details,
    }
    return _json_response(body, OUTCOME_STATUS[outcome.code])


def _json_response(body, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=_encode(body), content_type="application/json"
    )


async def _read_json(request: web.Request) -> dict:
    text = await request.text()
    body = json.loads(text or "{}", parse_float=Decimal)
    if not isinstance(body, dict):
        raise ValueError("the body must be an object")
    return body

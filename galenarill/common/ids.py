"""Identifier types of the entities in a fleet."""

from typing import NewType

__all__ = [
    "VmId",
    "RackId",
    "AvailabilityZoneId",
    "PoolId",
    "QueueId",
    "TeamId",
    "KeyId",
    "PermitId",
    "AttemptId",
    "RequestId",
    "ChangeId",
    "OperatorId",
    "JobId",
    "WorkerId",
    "MachineId",
]

VmId = NewType("VmId", str)
RackId = NewType("RackId", str)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
PoolId = NewType("PoolId", str)
QueueId = NewType("QueueId", str)
TeamId = NewType("TeamId", str)
KeyId = NewType("KeyId", str)
PermitId = NewType("PermitId", str)
AttemptId = NewType("AttemptId", str)
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
OperatorId = NewType("OperatorId", str)
JobId = NewType("JobId", str)
WorkerId = NewType("WorkerId", str)
MachineId = NewType("MachineId", str)

"""Identifier types, distinct so that a type checker finds mixed-up identifiers."""

from typing import NewType

RouterId = NewType("RouterId", str)
BootId = NewType("BootId", str)
ZoneId = NewType("ZoneId", str)
PoolId = NewType("PoolId", str)
ReplicaId = NewType("ReplicaId", str)
ServiceId = NewType("ServiceId", str)
WorkspaceId = NewType("WorkspaceId", str)
RequestId = NewType("RequestId", str)
PatchId = NewType("PatchId", str)
Version = NewType("Version", int)
SoftwareVersion = NewType("SoftwareVersion", str)
GrantId = NewType("GrantId", int)
ChatKey = NewType("ChatKey", int)
Fingerprint = NewType("Fingerprint", int)

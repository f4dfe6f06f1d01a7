"""Distinct types for the identifiers used throughout the daemon."""

from typing import NewType

AccountId = NewType('AccountId', str)
ClassName = NewType('ClassName', str)
ContentKey = NewType('ContentKey', str)
"""Digest of a request's content, or of a part of its prompt."""
DaemonId = NewType('DaemonId', str)
DataCentreName = NewType('DataCentreName', str)
EndpointId = NewType('EndpointId', str)
ModelName = NewType('ModelName', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
VMId = NewType('VMId', str)

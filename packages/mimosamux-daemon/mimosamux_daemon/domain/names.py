"""Types of the identifiers that every part of the daemon shares."""

from typing import NewType

AccountId = NewType('AccountId', str)
ClassName = NewType('ClassName', str)
ContentKey = NewType('ContentKey', str)
DaemonId = NewType('DaemonId', str)
DataCentreName = NewType('DataCentreName', str)
EndpointId = NewType('EndpointId', str)
ModelName = NewType('ModelName', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
VMId = NewType('VMId', str)

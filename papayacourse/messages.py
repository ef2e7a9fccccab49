"""The union of all messages that daemons exchange; defined by subject in other modules."""

from papayacourse.callmessages import (
    Absolved,
    CallAnswer,
    CallRefused,
    RunOnce,
    StrikesUpdate,
)
from papayacourse.limitmessages import (
    LendShares,
    LimitNotices,
    SendPermit,
    SendPermitRequest,
    SharesLent,
)
from papayacourse.meshmessages import (
    Beat,
    CallFailed,
    DeathReport,
    DocumentAsk,
    DocumentCopy,
    DomainLoads,
    DomainSummary,
    Done,
    Heartbeat,
    Hello,
    HostsAsk,
    HostsChanges,
    HostsUpdate,
    PlatformNews,
    Proof,
    SettingsBuckets,
    SettingsDigest,
    SettingsSummary,
    SettingsUpdate,
)
from papayacourse.plainmessages import ServerUses
from papayacourse.relaymessages import (
    RelayAccepted,
    RelayCancelled,
    RelayDeclined,
    RelayPart,
    RelayRequest,
)
from papayacourse.schedulingmessages import (
    DrainEngine,
    EngineLeaves,
    EnginesAsk,
    EnginesOutOfLine,
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    JoinRequest,
    NotScheduler,
    ProgressReport,
    Queued,
    StreamEnded,
    StreamReport,
    StreamsUnknown,
)

# The index of a message here is its kind on the wire; add new ones at the end.
Message = (
    Hello
    | Proof
    | Heartbeat
    | Beat
    | DomainLoads
    | HostsAsk
    | NotScheduler
    | DomainSummary
    | SettingsSummary
    | SettingsBuckets
    | SettingsDigest
    | SettingsUpdate
    | HostsUpdate
    | GrantRequest
    | Granted
    | Joined
    | GrantRefused
    | Queued
    | StreamReport
    | ProgressReport
    | StreamsUnknown
    | StreamEnded
    | DrainEngine
    | StrikesUpdate
    | Absolved
    | RunOnce
    | CallAnswer
    | CallRefused
    | Done
    | CallFailed
    | HostsChanges
    | EnginesAsk
    | EnginesOutOfLine
    | DeathReport
    | JoinRequest
    | DocumentAsk
    | DocumentCopy
    | PlatformNews
    | EngineLeaves
    | LimitNotices
    | LendShares
    | SharesLent
    | SendPermitRequest
    | SendPermit
    | RelayRequest
    | RelayAccepted
    | RelayDeclined
    | RelayPart
    | RelayCancelled
    | ServerUses
)

#ifndef AZURESPINDLE_JOURNAL_EVENT_ID_H
#define AZURESPINDLE_JOURNAL_EVENT_ID_H

#include <array>
#include <string>
#include <vector>

namespace azurespindle::journal {

enum class Severity { Debug, Info, Warning, Error };

/// Number of a logged event. Numbers are never reused. docs/EVENTS.md lists all events.
enum class EventId {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    InternalFault = 103,

    RequestPlaced = 200,
    RequestQueued = 201,
    RequestRefused = 202,
    RequestFinished = 203,
    AttemptFailed = 204,
    GenerationResumed = 205,
    RequestRetried = 206,
    AnswerIgnored = 207,
    CallerLeft = 208,
    CallerTooSlow = 209,
    MoveBegun = 210,
    MoveAnswered = 211,
    GenerationLost = 212,
    RequestCut = 213,
    RunStopUnconfirmed = 214,
    RequestLimitReached = 216,
    RequestTimedOut = 217,
    InputMemoryShort = 218,
    ConnectionLimitReached = 219,

    UpstreamAdded = 300,
    UpstreamRemoved = 301,
    UpstreamCondition = 302,
    UpstreamLost = 303,
    UpstreamRestarted = 304,
    RampChanged = 305,
    LeaseChanged = 306,
    CrashSuspected = 307,
    CrashCleared = 308,
    PromptPartsSuspected = 309,
    PromptPartBlocked = 310,
    PromptPartsCleared = 311,
    LimitNamed = 312,
    LimitEnded = 313,
    UpstreamLeaving = 314,
    UpstreamPaused = 315,
    UpstreamSpeedChanged = 316,
    ReportedSpeedRejected = 317,
    BlockedRequestsLearned = 318,

    ConfigurationAccepted = 400,
    ConfigurationRefused = 401,
    ConfigurationStale = 402,
    ConfigurationServiceLost = 403,
    ConfigurationServiceBack = 404,
    VmListRefused = 405,
    PublishedItemRefused = 406,
    PublisherLost = 407,
    PublisherBack = 408,
    ReadinessChanged = 409,
    SettingsReloaded = 410,
    LogLinesDropped = 411,
    ViewUpdateReceived = 412,
    ViewUpdateRequested = 413,
    ViewUpdateSent = 414,
    RequestPathStalled = 415,
    StoreEraChanged = 416,
    StoreResponseOutdated = 417,
    StoreEraUnreadable = 418,

    MemberJoined = 500,
    MemberSuspected = 501,
    MemberRemoved = 502,
    MemberRefuted = 503,
    FrameRefused = 504,
    StewardChanged = 505,

    KeyMinted = 600,
    KeyRefused = 601,
    CallForwarded = 602,

    OrderSent = 700,
    OrderAccepted = 701,
    OrderRefused = 702,
    OrderPostponed = 703,
    EngineDraining = 704,
};

/// Catalogue entry of one event.
struct EventDescription
{
    EventId id;
    const char *name; ///< Name of the event in the log, such as "request-placed".
    Severity severity;
    const char *meaning; ///< Explanation of the event in docs/EVENTS.md.
};

/// Returns the descriptions of all events in ascending order of their numbers.
const std::vector<EventDescription> &catalogue();

/// Returns the description of \a id, which must be in the catalogue.
const EventDescription &describe(EventId id);

/// A named value of a journal entry.
struct Field
{
    std::string name;
    std::string value;

    bool operator==(const Field &other) const = default;
};

/// A journal entry: one event and its fields, without the time.
struct Entry
{
    EventId id = EventId::InternalFault;
    std::vector<Field> fields;

    /// Returns the value of the field \a name, or an empty string if there is none.
    std::string value(const std::string &name) const;
    bool operator==(const Entry &other) const = default;
};

} // namespace azurespindle::journal

#endif

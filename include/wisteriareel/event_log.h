#ifndef WISTERIAREEL_EVENT_LOG_H_
#define WISTERIAREEL_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriareel {

// Event numbers, documented in docs/EVENTS.md. They are stable. New ones are
// appended to the block of the folder that writes the event.
enum class EventId : std::uint16_t {
  // 1000-1099 daemon.
  kDaemonStarted = 1000,
  kDaemonReady = 1001,
  kDaemonDraining = 1002,
  kDaemonStopped = 1003,
  kSettingsRejected = 1004,
  kSettingsReloaded = 1005,
  kLoopStalled = 1006,
  kLogLinesDropped = 1007,

  // 1100-1199 platform.
  kTableEraChanged = 1100,
  kTableEraInvalid = 1101,

  // 1200-1299 budget.
  kGrantsReclaimed = 1200,
  kRecordsPending = 1201,
  kHolderReclaimed = 1202,
  kLedgerTransactionEnded = 1203,
  kTokensBorrowed = 1204,
  kTokensInherited = 1205,
  kTokensHandedOver = 1206,
  kTokensRecalled = 1207,
  kLedgerRowsRecovered = 1208,

  // 1300-1399 request.
  kClaimInDoubt = 1300,
  kClaimReleasePending = 1301,
  kClaimLost = 1302,
  kClaimResolved = 1303,
  kResponseBroken = 1304,
  kRequestsDrained = 1305,
  kRequestEnded = 1306,
  kRequestRetried = 1307,
  kRequestRefused = 1308,
  kAttemptBroken = 1309,
  kPromptQuarantined = 1310,
  kConnectionGivenUp = 1311,

  // 1400-1499 routing.
  kTargetEjected = 1400,
  kTargetReinstated = 1401,
  kTargetListed = 1402,
  kTargetListUnavailable = 1403,
  kTargetListRestored = 1404,
  kTargetNotice = 1405,
  kTargetRateLimit = 1406,

  // 1500-1599 config.
  kConfigLoaded = 1500,
  kConfigFullyRead = 1501,
  kConfigDigestMismatch = 1502,
  kConfigHeadBehind = 1503,
  kConfigPlatformUnavailable = 1504,
  kConfigPlatformRestored = 1505,
  kRouteConfigApplied = 1506,
  kRouteConfigRejected = 1507,

  // 1600-1699 membership.
  kMemberSuspected = 1600,
  kMemberDead = 1601,
  kMemberAlive = 1602,
  kSuspicionRefuted = 1603,
  kTargetLeaving = 1604,
  kInstanceListUnavailable = 1605,

  // 1700-1799 lifecycle.
  kLeaseTaken = 1700,
  kLeaseLost = 1701,
  kTargetOrderDone = 1702,
  kTargetOrderFailed = 1703,
  kPoolConverged = 1704,

  // 1800-1899 http, rpc, peer.
  kHttpListening = 1800,
  kHttpConnectionsCut = 1801,
  kCertificateUnreadable = 1802,
  kRequestHandlerFailed = 1803,
  kOperatorRefused = 1850,
  kOperatorOrderAccepted = 1851,
  kOperatorListening = 1852,
  kPeerRefused = 1860,
  kPeerConnected = 1861,
  kPeerLost = 1862,
  kPeerFrameRefused = 1863,
  kPeerListening = 1864,
};

enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };

// A named value of an event.
struct EventField {
  std::string_view name;
  std::string value;
};

// A structured log of numbered events. Thread-safe.
class EventLog {
 public:
  virtual ~EventLog() = default;

  virtual void Write(EventId id, Severity severity, std::string_view text,
                     const std::vector<EventField>& fields) = 0;
};

// Returns a log that discards all events. Never null; not owned by the caller.
EventLog* DiscardEvents();

}  // namespace wisteriareel

#endif  // WISTERIAREEL_EVENT_LOG_H_

#include "src/observability/metric_names.h"

namespace wisteriareel {

MetricName NameOf(Counter counter) {
  switch (counter) {
    case Counter::kRequests:
      return {"wisteriareel_requests_total", "Requests received."};
    case Counter::kAnswersWhole:
      return {"wisteriareel_answers_whole_total", "Complete responses sent."};
    case Counter::kTokensBilled:
      return {"wisteriareel_tokens_billed_total", "Tokens billed."};
    case Counter::kTokensWrittenOff:
      return {"wisteriareel_tokens_written_off_total", "Tokens written off."};
    case Counter::kPeerMessagesSent:
      return {"wisteriareel_peer_messages_sent_total",
              "Messages sent to other instances."};
    case Counter::kPeerBytesSent:
      return {"wisteriareel_peer_sent_bytes_total",
              "Bytes sent to other instances."};
    case Counter::kPeerFramesRefused:
      return {"wisteriareel_peer_frames_refused_total",
              "Frames from other instances that were refused."};
    case Counter::kTableReads:
      return {"wisteriareel_table_reads_total", "Reads of the table."};
    case Counter::kTableWrites:
      return {"wisteriareel_table_writes_total", "Writes to the table."};
    case Counter::kCallersRefused:
      return {"wisteriareel_callers_refused_total",
              "Callers, operators and peers refused for lack of a valid "
              "credential."};
    case Counter::kConfigChangesApplied:
      return {"wisteriareel_config_changes_applied_total",
              "Configuration changes applied by this instance."};
    case Counter::kPeerMessagesDropped:
      return {"wisteriareel_peer_messages_dropped_total",
              "Messages to other instances dropped before they were sent."};
    case Counter::kPlacementsAvoidingLimits:
      return {"wisteriareel_placements_avoiding_limits_total",
              "Attempts for which a target was left out because its rate limit "
              "allowed no request."};
  }
  return {};
}

MetricName NameOf(Timing timing) {
  switch (timing) {
    case Timing::kRequest:
      return {"wisteriareel_request_seconds", "Total time of a request."};
    case Timing::kFirstToken:
      return {"wisteriareel_first_token_seconds",
              "Time to the first token of a stream."};
    case Timing::kInterToken:
      return {"wisteriareel_inter_token_seconds",
              "Time between tokens of a stream."};
    case Timing::kAddedPerRequest:
      return {"wisteriareel_added_seconds",
              "Time that the instance itself adds to a request."};
    case Timing::kClaimCommit:
      return {"wisteriareel_claim_commit_seconds",
              "Time to commit a claim of a non-idempotent request."};
    case Timing::kTableCommit:
      return {"wisteriareel_table_commit_seconds",
              "Time of a table transaction."};
    case Timing::kConfigLag:
      return {
          "wisteriareel_config_lag_seconds",
          "Time from acceptance of a change until this instance applies it."};
  }
  return {};
}

}  // namespace wisteriareel

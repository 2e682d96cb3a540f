#include "src/platform/write_outcome.h"

#include "src/platform/platform_codec.h"

namespace wisteriareel {

CommitOutcome CommitOutcomeFromReply(const PlatformReply& reply) {
  switch (reply.call_outcome) {
    case PlatformReply::CallOutcome::kNotSent:
      return CommitOutcome::kRejected;
    case PlatformReply::CallOutcome::kUnknown:
      return CommitOutcome::kUnknown;
    case PlatformReply::CallOutcome::kReplied:
      break;
  }
  return DecodeOutcome(reply.body).value_or(CommitOutcome::kUnknown);
}

}  // namespace wisteriareel

#include "src/platform/write_outcome.h"

#include "src/platform/platform_codec.h"

namespace wisteriareel {

CommitOutcome OutcomeOf(const PlatformReply& reply) {
  switch (reply.fate) {
    case PlatformReply::Fate::kNotSent:
      return CommitOutcome::kRejected;
    case PlatformReply::Fate::kUnknown:
      return CommitOutcome::kUnknown;
    case PlatformReply::Fate::kAnswered:
      break;
  }
  return DecodeOutcome(reply.body).value_or(CommitOutcome::kUnknown);
}

}  // namespace wisteriareel

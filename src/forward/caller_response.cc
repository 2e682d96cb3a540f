#include "src/forward/caller_response.h"

#include <utility>

namespace wisteriareel {

void CallerResponse::SendBody(std::string bytes) {
  if (state_ == State::kNothingSent) {
    state_ = State::kHeadSent;
    sink_->SendHead(std::nullopt);
  }
  if (state_ == State::kHeadSent) sink_->SendBody(std::move(bytes));
}

void CallerResponse::Finish(std::string last_bytes) {
  if (state_ == State::kNothingSent) {
    state_ = State::kHeadSent;
    sink_->SendHead(last_bytes.size());
  }
  if (state_ != State::kHeadSent) return;
  state_ = State::kEnded;
  if (!last_bytes.empty()) sink_->SendBody(std::move(last_bytes));
  sink_->FinishResponse();
}

CallerResponse::State CallerResponse::Fail(const Refusal& refusal) {
  if (state_ == State::kNothingSent) {
    state_ = State::kEnded;
    sink_->Refuse(refusal);
  } else if (state_ == State::kHeadSent) {
    state_ = State::kBrokenOff;
    sink_->AbortResponse();
  }
  return state_;
}

}  // namespace wisteriareel

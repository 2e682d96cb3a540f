#include "src/request/billing.h"
#include "src/request/request_run.h"

namespace wisteriareel {

void RequestRun::SettleReservation() {
  const RequestRecord record = MakeRecord();
  options_.counters->Record(Timing::kRequest, record.finished - record.started);
  if (reservation_ && result_.verdict != Verdict::kNotRun) {
    options_.budget->Settle(*reservation_, record);
    return;
  }
  if (reservation_) options_.budget->Release(*reservation_);
  options_.journal->Append(record);
}

RequestRecord RequestRun::MakeRecord() const {
  RequestRecord record{.request = request_.id,
                       .customer = request_.customer,
                       .budget = request_.budget,
                       .model = request_.model,
                       .instance = options_.instance,
                       .zone = options_.zone,
                       .verdict = result_.verdict,
                       .reason = result_.reason,
                       .billed = Price(),
                       .attempts = attempts_,
                       .started = started_,
                       .finished = options_.clock->Now()};
  if (pool_ != nullptr) record.pool = pool_->id;
  if (target_) record.target = target_->id;
  if (relay_ && relay_->usage()) {
    record.prompt_tokens = relay_->usage()->prompt;
    record.output_tokens = relay_->usage()->output;
  } else if (relay_) {
    record.output_tokens =
        Tokens(static_cast<std::int64_t>(relay_->output_events()));
  }
  return record;
}

Tokens RequestRun::Price() const {
  if (!reservation_) return Tokens();
  return ComputePrice({.kind = request_.kind,
                       .streamed = request_.streamed,
                       .verdict = result_.verdict,
                       .reason = result_.reason,
                       .complete = complete_,
                       .status = relay_->status(),
                       .usage = relay_->usage(),
                       .output_events = relay_->output_events(),
                       .max_prompt_tokens = request_.max_prompt_tokens,
                       .worst_case = worst_case_});
}

}  // namespace wisteriareel

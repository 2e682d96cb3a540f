#include "src/request/admission_queue.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {
namespace {

constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

AdmissionDecision AdmissionQueue::Offer(const AdmissionRequest& request,
                                        absl::Time now) {
  capacity_ = std::max(1, request.capacity);
  const std::size_t index = IndexOf(request.priority);
  if (classes_[index].queued == 0 && HasRoom(index)) {
    Admit(index);
    return {.kind = AdmissionDecision::Kind::kAdmitted};
  }
  if (const std::optional<Reason> reason = WhyRefuse(request, now)) {
    return {.kind = AdmissionDecision::Kind::kRefused,
            .reason = *reason,
            .retry_after = std::clamp(EstimateWait(request.priority),
                                      kMinRetryAfter, kMaxRetryAfter)};
  }
  const AdmissionTicket ticket = ++last_ticket_;
  Enqueue(request, ticket);
  return {.kind = AdmissionDecision::Kind::kQueued, .ticket = ticket};
}

void AdmissionQueue::Leave(const AdmissionRequest& request,
                           absl::Duration stayed) {
  --in_flight_;
  --classes_[IndexOf(request.priority)].in_flight;
  if (service_time_ == absl::ZeroDuration()) {
    service_time_ = stayed;
    return;
  }
  service_time_ += (stayed - service_time_) * options_.service_time_gain;
}

std::optional<AdmissionTicket> AdmissionQueue::TakeNext(absl::Time now) {
  while (Class* next = NextClass()) {
    const std::optional<Waiting> taken = TakeFrom(next);
    if (!taken) return std::nullopt;
    // Its caller has given up, or is about to.
    if (now >= taken->request.deadline) continue;
    Admit(IndexOf(taken->request.priority));
    return taken->ticket;
  }
  return std::nullopt;
}

bool AdmissionQueue::Withdraw(AdmissionTicket ticket) {
  for (Class& line_class : classes_) {
    for (auto& [customer, line] : line_class.lines) {
      const auto it = std::find_if(
          line.waiting.begin(), line.waiting.end(),
          [&](const Waiting& waiting) { return waiting.ticket == ticket; });
      if (it == line.waiting.end()) continue;
      line.waiting.erase(it);
      --line_class.queued;
      return true;
    }
  }
  return false;
}

absl::Duration AdmissionQueue::EstimateWait(Priority priority) const {
  const std::size_t index = IndexOf(priority);
  double active_turns = 0;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].queued > 0 || i == index) active_turns += options_.turns[i];
  }
  const double share = options_.turns[index] / active_turns;
  const double ahead =
      std::min<double>(queued(), classes_[index].queued / share);
  return service_time_ * ((ahead + 1) / CapacityOf(index));
}

int AdmissionQueue::queued() const {
  int total = 0;
  for (const Class& line_class : classes_) total += line_class.queued;
  return total;
}

// A class has room if, for it and each class above it, the work of that class
// and of those below stays within its share.
bool AdmissionQueue::HasRoom(std::size_t index) const {
  int above = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    if (in_flight_ - above >= CapacityOf(i)) return false;
    above += classes_[i].in_flight;
  }
  return true;
}

int AdmissionQueue::CapacityOf(std::size_t index) const {
  return std::max(1,
                  static_cast<int>(capacity_ * options_.capacity_share[index]));
}

std::optional<Reason> AdmissionQueue::WhyRefuse(const AdmissionRequest& request,
                                                absl::Time now) const {
  const std::size_t index = IndexOf(request.priority);
  const Class& line_class = classes_[index];
  const int limit = options_.max_queued[index];
  if (line_class.queued >= limit) return Reason::kQueueFull;
  const auto line = line_class.lines.find(request.customer);
  const bool known = line != line_class.lines.end();
  const double waiting =
      known ? static_cast<double>(line->second.waiting.size()) : 0;
  if (waiting >= limit * options_.customer_share) {
    return Reason::kCustomerShareExceeded;
  }
  const absl::Duration wait = EstimateWait(request.priority);
  const bool too_long =
      wait > options_.max_wait[index] || now + wait >= request.deadline;
  if (too_long) return Reason::kShedOverload;
  return std::nullopt;
}

// A customer or class that had nothing waiting gets no credit for that time.
void AdmissionQueue::Enqueue(const AdmissionRequest& request,
                             AdmissionTicket ticket) {
  Class& line_class = classes_[IndexOf(request.priority)];
  if (line_class.queued == 0) line_class.due = std::max(line_class.due, turn_);
  Line& line = line_class.lines[request.customer];
  if (line.waiting.empty()) line.due = std::max(line.due, line_class.served);
  line.waiting.push_back({.ticket = ticket, .request = request});
  ++line_class.queued;
}

void AdmissionQueue::Admit(std::size_t index) {
  ++in_flight_;
  ++classes_[index].in_flight;
}

AdmissionQueue::Class* AdmissionQueue::NextClass() {
  Class* next = nullptr;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    Class& line_class = classes_[i];
    if (line_class.queued == 0 || !HasRoom(i)) continue;
    if (next == nullptr || line_class.due < next->due) next = &line_class;
  }
  if (next == nullptr) return nullptr;
  turn_ = next->due;
  const auto index = static_cast<std::size_t>(next - classes_.data());
  next->due += 1.0 / options_.turns[index];
  return next;
}

std::optional<AdmissionQueue::Waiting> AdmissionQueue::TakeFrom(
    Class* line_class) {
  auto best = line_class->lines.end();
  for (auto it = line_class->lines.begin(); it != line_class->lines.end();) {
    if (it->second.waiting.empty() && it->second.due <= line_class->served) {
      it = line_class->lines.erase(it);
      continue;
    }
    const bool earlier =
        best == line_class->lines.end() || it->second.due < best->second.due;
    if (!it->second.waiting.empty() && earlier) best = it;
    ++it;
  }
  if (best == line_class->lines.end()) return std::nullopt;
  Line& line = best->second;
  Waiting taken = std::move(line.waiting.front());
  line.waiting.pop_front();
  --line_class->queued;
  line_class->served = line.due;
  line.due += 1.0 / std::max(1u, taken.request.weight);
  return taken;
}

}  // namespace wisteriareel

#include <limits>
#include <memory>
#include <mutex>
#include <utility>

#include "wisteriareel/config_published.h"

namespace wisteriareel {
namespace {

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::min();

}  // namespace

PublishedConfig::PublishedConfig() : confirmed_ns_(kNever) {}

bool PublishedConfig::Publish(
    std::shared_ptr<const ImmutableConfigSnapshot> next, ConfigOrigin origin) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (next->revision() <= snapshot_.Load()->revision()) return false;
  snapshot_.Store(std::move(next));
  origin_ = origin;
  return true;
}

void PublishedConfig::Confirm(absl::Time when) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t ns = absl::ToUnixNanos(when);
  if (ns > confirmed_ns_) confirmed_ns_ = ns;
}

std::shared_ptr<const ImmutableConfigSnapshot> PublishedConfig::Snapshot()
    const {
  return snapshot_.Load();
}

ConfigOrigin PublishedConfig::origin() const { return origin_; }

std::shared_ptr<const ConfigSnapshot> PublishedConfig::Current() const {
  return snapshot_.Load();
}

absl::Time PublishedConfig::ConfirmedAt() const {
  const std::int64_t ns = confirmed_ns_;
  return ns == kNever ? absl::InfinitePast() : absl::FromUnixNanos(ns);
}

}  // namespace wisteriareel

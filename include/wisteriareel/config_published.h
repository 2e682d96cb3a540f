#ifndef WISTERIAREEL_CONFIG_PUBLISHED_H_
#define WISTERIAREEL_CONFIG_PUBLISHED_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

#include "absl/time/time.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/published.h"

namespace wisteriareel {

// Source of the configuration in force.
enum class ConfigOrigin : std::uint8_t { kNone, kPlatform, kPeer };

// Holds the configuration in force at this instance. Its revision never
// decreases. Thread-safe; readers take no lock.
class PublishedConfig final : public ConfigView {
 public:
  PublishedConfig();

  // Puts `next` in force if its revision is newer than the current one.
  // Returns whether it did.
  bool Publish(std::shared_ptr<const ImmutableConfigSnapshot> next,
               ConfigOrigin origin);

  // Records that the configuration in force was the newest one at `when`.
  void Confirm(absl::Time when);

  // Returns the snapshot in force. Never null.
  std::shared_ptr<const ImmutableConfigSnapshot> Snapshot() const;

  ConfigOrigin origin() const;

  std::shared_ptr<const ConfigSnapshot> Current() const override;
  absl::Time ConfirmedAt() const override;

 private:
  Published<ImmutableConfigSnapshot> snapshot_;
  // Serializes writers.
  std::mutex mutex_;
  std::atomic<std::int64_t> confirmed_ns_;
  std::atomic<ConfigOrigin> origin_ = ConfigOrigin::kNone;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_PUBLISHED_H_

#ifndef WISTERIAREEL_PUBLISHED_H_
#define WISTERIAREEL_PUBLISHED_H_

#include <atomic>
#include <memory>
#include <utility>

namespace wisteriareel {

// Holds the current version of an immutable value for read-copy-update:
// readers keep the version that they loaded while a writer publishes a new
// one. Thread-safe.
template <typename T>
class Published {
 public:
  Published() : current_(std::make_shared<const T>()) {}
  explicit Published(std::shared_ptr<const T> initial)
      : current_(std::move(initial)) {}

  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;

  // Returns the latest version. Never null.
  std::shared_ptr<const T> Load() const {
    return current_.load(std::memory_order_acquire);
  }

  // Makes `next` the current version. `next` must not be null.
  void Store(std::shared_ptr<const T> next) {
    current_.store(std::move(next), std::memory_order_release);
  }

 private:
  std::atomic<std::shared_ptr<const T>> current_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_PUBLISHED_H_

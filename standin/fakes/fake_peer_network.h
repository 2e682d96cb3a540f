#ifndef WISTERIAREEL_STANDIN_FAKES_FAKE_PEER_NETWORK_H_
#define WISTERIAREEL_STANDIN_FAKES_FAKE_PEER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Messages that one instance has sent or received, and their size.
struct PeerTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Transports messages between instances in one process. Messages are queued
// until the test delivers them. Thread-safe.
class FakePeerNetwork {
 public:
  using LinkPredicate =
      std::function<bool(const InstanceId& from, const InstanceId& to)>;

  // Sets the receiver of instance `id`. Does not own `receiver`; null detaches
  // the instance.
  void Attach(const InstanceId& id, PeerReceiver* receiver) {
    std::lock_guard<std::mutex> lock(mutex_);
    receivers_[id] = receiver;
  }

  // Returns the transport of instance `from`, owned by the network.
  PeerTransport* From(const InstanceId& from) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto& port = ports_[from];
    if (port == nullptr) port = std::make_unique<Port>(this, from);
    return port.get();
  }

  // Drops messages on links for which `up` returns false. Null restores all
  // links.
  void SetLinks(LinkPredicate up) {
    std::lock_guard<std::mutex> lock(mutex_);
    up_ = std::move(up);
  }

  // Delivers all queued messages in the order in which they were sent, and
  // those sent in the meantime. Returns the number of messages delivered.
  std::size_t DeliverAll() {
    std::size_t delivered = 0;
    while (true) {
      std::vector<QueuedMessage> batch;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        batch.swap(queue_);
      }
      if (batch.empty()) return delivered;
      for (const QueuedMessage& message : batch) delivered += Deliver(message);
    }
  }

  // Picks a random queued message and delivers or drops it; with some
  // probability it stays queued and is delivered again later. Returns false if
  // the queue is empty.
  bool DeliverRandom(RandomSource* random) {
    QueuedMessage message;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (queue_.empty()) return false;
      const auto at = static_cast<std::ptrdiff_t>(random->Below(queue_.size()));
      message = queue_[static_cast<std::size_t>(at)];
      const bool duplicate = random->Below(8) == 0;
      if (!duplicate) queue_.erase(queue_.begin() + at);
    }
    if (random->Below(8) != 0) Deliver(message);
    return true;
  }

  // Drops all queued messages.
  void DropAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.clear();
  }

  PeerTraffic SentBy(const InstanceId& id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = sent_.find(id);
    return it == sent_.end() ? PeerTraffic{} : it->second;
  }

  PeerTraffic ReceivedBy(const InstanceId& id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = received_.find(id);
    return it == received_.end() ? PeerTraffic{} : it->second;
  }

  void ResetTraffic() {
    std::lock_guard<std::mutex> lock(mutex_);
    sent_.clear();
    received_.clear();
  }

 private:
  struct QueuedMessage {
    InstanceId from;
    InstanceId to;
    PeerMessage message;
  };

  class Port final : public PeerTransport {
   public:
    Port(FakePeerNetwork* network, InstanceId from)
        : network_(network), from_(std::move(from)) {}

    void Send(const InstanceId& to, const Endpoint& /*endpoint*/,
              const PeerMessage& message) override {
      network_->Enqueue({from_, to, message});
    }

   private:
    FakePeerNetwork* const network_;
    const InstanceId from_;
  };

  void Enqueue(QueuedMessage message) {
    std::lock_guard<std::mutex> lock(mutex_);
    PeerTraffic& traffic = sent_[message.from];
    ++traffic.messages;
    traffic.bytes += message.message.payload.size() + 1;
    queue_.push_back(std::move(message));
  }

  std::size_t Deliver(const QueuedMessage& message) {
    PeerReceiver* receiver = nullptr;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (up_ && !up_(message.from, message.to)) return 0;
      const auto it = receivers_.find(message.to);
      if (it != receivers_.end()) receiver = it->second;
      PeerTraffic& traffic = received_[message.to];
      ++traffic.messages;
      traffic.bytes += message.message.payload.size() + 1;
    }
    if (receiver == nullptr) return 0;
    receiver->OnPeerMessage(message.from, message.message);
    return 1;
  }

  mutable std::mutex mutex_;
  LinkPredicate up_;
  std::map<InstanceId, PeerReceiver*> receivers_;
  std::map<InstanceId, std::unique_ptr<Port>> ports_;
  std::map<InstanceId, PeerTraffic> sent_;
  std::map<InstanceId, PeerTraffic> received_;
  std::vector<QueuedMessage> queue_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_FAKE_PEER_NETWORK_H_

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

// What one instance has sent, or what it has received.
struct PeerTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Carries messages between instances of one process: they wait until they are
// delivered by hand. Thread-safe.
class FakePeerNetwork {
 public:
  using LinkPredicate =
      std::function<bool(const InstanceId& from, const InstanceId& to)>;

  // Does not own `receiver`; null detaches the instance.
  void Attach(const InstanceId& id, PeerReceiver* receiver) {
    std::lock_guard<std::mutex> lock(mutex_);
    receivers_[id] = receiver;
  }

  // Returns the transport of `from`. Owned by the network.
  PeerTransport* From(const InstanceId& from) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto& port = ports_[from];
    if (port == nullptr) port = std::make_unique<Port>(this, from);
    return port.get();
  }

  // Drops messages on links for which `up` is false. Null opens all links.
  void SetLinks(LinkPredicate up) {
    std::lock_guard<std::mutex> lock(mutex_);
    up_ = std::move(up);
  }

  // Delivers what waits, in the order in which it was sent, and what is sent
  // meanwhile. Returns the number of messages delivered.
  std::size_t DeliverAll() {
    std::size_t delivered = 0;
    while (true) {
      std::vector<Waiting> batch;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        batch.swap(waiting_);
      }
      if (batch.empty()) return delivered;
      for (const Waiting& message : batch) delivered += Deliver(message);
    }
  }

  // Delivers one waiting message picked by `random`: drops, repeats and holds
  // back others as it likes. Returns false if none waits.
  bool DeliverRandom(RandomSource* random) {
    Waiting message;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (waiting_.empty()) return false;
      const auto at =
          static_cast<std::ptrdiff_t>(random->Below(waiting_.size()));
      message = waiting_[static_cast<std::size_t>(at)];
      const bool repeat = random->Below(8) == 0;
      if (!repeat) waiting_.erase(waiting_.begin() + at);
    }
    if (random->Below(8) != 0) Deliver(message);
    return true;
  }

  // Forgets all waiting messages.
  void DropAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    waiting_.clear();
  }

  PeerTraffic SentBy(const InstanceId& id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = traffic_.find(id);
    return it == traffic_.end() ? PeerTraffic{} : it->second;
  }

  PeerTraffic ReceivedBy(const InstanceId& id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = received_.find(id);
    return it == received_.end() ? PeerTraffic{} : it->second;
  }

  void ResetTraffic() {
    std::lock_guard<std::mutex> lock(mutex_);
    traffic_.clear();
    received_.clear();
  }

 private:
  struct Waiting {
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

  void Enqueue(Waiting message) {
    std::lock_guard<std::mutex> lock(mutex_);
    PeerTraffic& traffic = traffic_[message.from];
    ++traffic.messages;
    traffic.bytes += message.message.payload.size() + 1;
    waiting_.push_back(std::move(message));
  }

  std::size_t Deliver(const Waiting& message) {
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
  std::map<InstanceId, PeerTraffic> traffic_;
  std::map<InstanceId, PeerTraffic> received_;
  std::vector<Waiting> waiting_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_FAKE_PEER_NETWORK_H_

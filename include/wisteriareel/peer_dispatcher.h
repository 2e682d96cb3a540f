#ifndef WISTERIAREEL_PEER_DISPATCHER_H_
#define WISTERIAREEL_PEER_DISPATCHER_H_

#include <map>

#include "wisteriareel/peer_transport.h"

namespace wisteriareel {

// Dispatches each message to the receiver registered for its kind, and drops
// messages of other kinds. Register all receivers before the first message
// arrives; thread-safe from then on.
class PeerDispatcher final : public PeerReceiver {
 public:
  // Does not own `receiver`, which must outlive the dispatcher.
  void Register(PeerMessageKind kind, PeerReceiver* receiver) {
    receivers_[kind] = receiver;
  }

  void OnPeerMessage(const InstanceId& sender,
                     const PeerMessage& message) override {
    const auto it = receivers_.find(message.kind);
    if (it != receivers_.end()) it->second->OnPeerMessage(sender, message);
  }

 private:
  std::map<PeerMessageKind, PeerReceiver*> receivers_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_PEER_DISPATCHER_H_

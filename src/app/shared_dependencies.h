#ifndef WISTERIAREEL_SRC_APP_SHARED_DEPENDENCIES_H_
#define WISTERIAREEL_SRC_APP_SHARED_DEPENDENCIES_H_

#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/instance_list.h"
#include "wisteriareel/object_store.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Services that all components of a daemon share. Pointers are not owned and
// never null.
struct SharedDependencies {
  Clock* clock = nullptr;
  RandomSource* random = nullptr;
  Counters* counters = nullptr;
  EventLog* events = nullptr;
  TableService* table = nullptr;
  ObjectStore* objects = nullptr;
  InstanceList* instances = nullptr;
  PeerTransport* peers = nullptr;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_SHARED_DEPENDENCIES_H_

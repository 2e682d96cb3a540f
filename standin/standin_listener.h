#ifndef WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_
#define WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "src/http/http_listener.h"

namespace wisteriareel {

// HTTP listener and fault injection shared by all stand-ins. Serves /faults:
// GET returns the current values, POST replaces those that it names. The value
// of a counted fault is the number of injections left. Thread-safe.
class StandinListener : public HttpExchangeHandler {
 public:
  // Starts to listen on `endpoint`; port zero selects a free port. Returns
  // false and sets `*reason` on failure.
  bool Start(const Endpoint& endpoint, LastReason* reason);
  int port() const { return listener_->port(); }

  // Changes faults, as POST /faults does. Returns false and changes nothing if
  // a name is unknown or a value isn't an integer.
  bool SetFaults(const nlohmann::json& faults);

  void Serve(const httplib::Request& request, HttpExchange* exchange,
             httplib::Response* response) final;
  void Refuse(const HttpRefusal& refusal, httplib::Response* response) final;

 protected:
  // `faults` holds all faults of the stand-in with their initial values.
  explicit StandinListener(nlohmann::json faults)
      : faults_(std::move(faults)) {}

  // Stops the listener and ends all requests. The destructor of each subclass
  // calls this first, since requests use the subclass's members.
  void StopListening();

  // Handles a request to any path but /faults.
  virtual void HandleRequest(const httplib::Request& request,
                             HttpExchange* exchange,
                             httplib::Response* response) = 0;
  // Called after faults changed.
  virtual void OnFaultsChanged(const nlohmann::json& /*faults*/) {}

  std::int64_t FaultValue(const char* name) const;
  // Decrements a counted fault if it is positive. Returns whether to inject it.
  bool ConsumeFault(const char* name);
  // Sleeps for the value of the fault `name`, in milliseconds.
  void Delay(const char* name) const;

 private:
  mutable std::mutex mutex_;
  nlohmann::json faults_;
  std::unique_ptr<HttpListener> listener_;
};

// Closes the connection without sending a response.
void CloseWithoutResponse(HttpExchange* exchange);

// Sets the status and a JSON body.
void SetJsonResponse(int status, const nlohmann::json& body,
                     httplib::Response* response);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_

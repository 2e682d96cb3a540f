#ifndef WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_
#define WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "src/http/http_listener.h"

namespace wisteriareel {

// The listener that all stand-ins share. Serves /faults: GET shows the faults
// in force, POST replaces the ones named. Numbers that count down are
// decremented each time they strike. Thread-safe.
class StandinListener : public HttpExchangeHandler {
 public:
  // Begins to listen on `endpoint`; port zero takes a free one.
  bool Start(const Endpoint& endpoint, LastReason* reason);
  int port() const { return listener_->port(); }

  // Changes faults; what POST /faults does. Returns false, and changes
  // nothing, if one has an unknown name or another type.
  bool SetFaults(const nlohmann::json& faults);

  void Serve(const httplib::Request& request, HttpExchange* exchange,
             httplib::Response* response) final;
  void Refuse(const HttpRefusal& refusal, httplib::Response* response) final;

 protected:
  // `faults` names all faults of the stand-in with their values when off.
  explicit StandinListener(nlohmann::json faults)
      : faults_(std::move(faults)) {}

  // Ends all requests. Called by the destructor of each stand-in first.
  void StopListening();

  // Serves a request that isn't for /faults.
  virtual void HandleRequest(const httplib::Request& request,
                             HttpExchange* exchange,
                             httplib::Response* response) = 0;
  // Called after faults changed.
  virtual void OnFaultsChanged(const nlohmann::json& /*faults*/) {}

  // Returns the value of a fault.
  std::int64_t FaultValue(const char* name) const;
  // Decrements a fault that counts down. Returns whether it strikes now.
  bool ConsumeFault(const char* name);
  // Waits for as long as the fault `name` says, in milliseconds.
  void Delay(const char* name) const;

 private:
  mutable std::mutex mutex_;
  nlohmann::json faults_;
  std::unique_ptr<HttpListener> listener_;
};

// Closes the connection without a reply.
void CloseWithoutResponse(HttpExchange* exchange);

// Sets a JSON answer.
void SetJsonResponse(int status, const nlohmann::json& body,
                     httplib::Response* response);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_STANDIN_LISTENER_H_

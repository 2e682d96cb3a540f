#ifndef WISTERIAREEL_SRC_APP_REQUEST_PLANE_H_
#define WISTERIAREEL_SRC_APP_REQUEST_PLANE_H_

#include "absl/time/time.h"
#include "src/app/budget_plane.h"
#include "src/app/control_plane.h"
#include "src/app/shared_dependencies.h"
#include "src/http/http_target_client.h"
#include "src/request/admission_controller.h"
#include "src/request/claim_registry.h"
#include "src/request/request_service.h"
#include "src/routing/fleet_selector.h"
#include "src/settings/settings.h"
#include "wisteriareel/background_loop.h"

namespace wisteriareel {

// Components of a daemon that serve callers' requests. Owns their background
// loops. Thread-safe except for Start and Stop.
class RequestPlane {
 public:
  // The arguments must outlive the object.
  RequestPlane(const Settings& settings, const SharedDependencies& dependencies,
               ControlPlane* control, BudgetPlane* budgets);

  void Start();

  // Refuses new requests and waits until those in flight have ended or
  // `deadline` has passed.
  RequestDrainReport Drain(absl::Time deadline);

  // Retries unconfirmed claim changes until none is left or `deadline` has
  // passed. Returns the number of those left.
  int ConfirmClaims(absl::Time deadline);

  // Stops the loops. Idempotent.
  void Stop();

  RequestService* service() { return &service_; }
  const RequestService& service() const { return service_; }
  ClaimAdmin* claim_admin() { return &claims_; }

 private:
  const SharedDependencies& dependencies_;
  HttpTargetClient targets_;
  ClaimRegistry claims_;
  AdmissionController admission_;
  FleetSelector selector_;
  RequestService service_;
  BackgroundLoop claims_loop_;
  BackgroundLoop selector_loop_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_REQUEST_PLANE_H_

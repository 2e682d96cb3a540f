#ifndef WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_
#define WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_

#include <string>

#include "absl/time/time.h"

namespace wisteriareel {

// Default interval for reloading certificate files.
inline constexpr absl::Duration kDefaultTlsReload = absl::Seconds(30);

// PEM files of one listener or client. If all are empty, connections use plain
// text.
struct TlsFiles {
  // Certificate chain; required for listeners.
  std::string certificate_file;
  // Private key of the certificate.
  std::string key_file;
  // Certificate authorities trusted for the peer's certificate. If set for a
  // listener, clients must present a certificate.
  std::string ca_file;
  // Interval for reloading the files.
  absl::Duration reload = kDefaultTlsReload;

  // Returns true if connections are encrypted.
  bool enabled() const { return !certificate_file.empty() || !ca_file.empty(); }

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_

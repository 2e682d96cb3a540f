#ifndef WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_
#define WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_

#include <string>

#include "absl/time/time.h"

namespace wisteriareel {

// How often certificate files are read again.
inline constexpr absl::Duration kDefaultTlsReload = absl::Seconds(30);

// PEM files of one listener or client. All empty means plain text.
struct TlsFiles {
  // Own certificate chain; needed by listeners.
  std::string certificate_file;
  // Private key of the certificate.
  std::string key_file;
  // Authorities that the other end's certificate must come from. At a
  // listener, set means that the other end must show a certificate.
  std::string ca_file;
  // How often the files are read again.
  absl::Duration reload = kDefaultTlsReload;

  // Returns true if connections are encrypted.
  bool enabled() const { return !certificate_file.empty() || !ca_file.empty(); }

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SECURITY_TLS_FILES_H_
